package org.oleanderstep.standins.member.internal;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ExecutorService;
import org.apache.calcite.avatica.remote.Handler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Serves the requests of one TCP connection in their order, on the worker pool. All fields are used
 * by the connection's event loop only.
 */
final class SqlRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final Logger logger = LogManager.getLogger(SqlRequestHandler.class);
  private static final String POSITION_HEADER = "Group-Position";
  private static final String CALL_HEADER = "Oleanderstep-Call";
  private static final int MAX_QUEUED_REQUESTS = 64;

  private final Handler<byte[]> avatica;
  private final SqlSessions sessions;
  private final ReplicationState state;
  private final ExecutorService workers;
  private final byte[] authorization;
  private final Queue<Work> queue = new ArrayDeque<>();
  private boolean busy;

  /** A request that was read and checked. */
  private static final class Work {
    final byte[] body;
    final Optional<String> callId;
    final boolean keepAlive;

    Work(byte[] body, Optional<String> callId, boolean keepAlive) {
      this.body = body;
      this.callId = callId;
      this.keepAlive = keepAlive;
    }
  }

  /**
   * Creates the handler of one connection.
   *
   * @param authorization the expected value of the header {@code Authorization}
   */
  SqlRequestHandler(
      Handler<byte[]> avatica,
      SqlSessions sessions,
      ReplicationState state,
      ExecutorService workers,
      String authorization) {
    this.avatica = avatica;
    this.sessions = sessions;
    this.state = state;
    this.workers = workers;
    this.authorization = authorization.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (!request.decoderResult().isSuccess()) {
      refuse(context, request, HttpResponseStatus.BAD_REQUEST);
    } else if (!isAuthorized(request)) {
      refuse(context, request, HttpResponseStatus.UNAUTHORIZED);
    } else if (!request.method().equals(HttpMethod.POST)) {
      refuse(context, request, HttpResponseStatus.METHOD_NOT_ALLOWED);
    } else if (queue.size() >= MAX_QUEUED_REQUESTS) {
      close(context);
    } else {
      queue.add(
          new Work(
              ByteBufUtil.getBytes(request.content()),
              callId(request),
              HttpUtil.isKeepAlive(request)));
      serveNext(context);
    }
  }

  private boolean isAuthorized(FullHttpRequest request) {
    String given = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
    return MessageDigest.isEqual(given.getBytes(StandardCharsets.UTF_8), authorization);
  }

  private static Optional<String> callId(FullHttpRequest request) {
    return Optional.ofNullable(request.headers().get(CALL_HEADER));
  }

  private void refuse(
      ChannelHandlerContext context, FullHttpRequest request, HttpResponseStatus status) {
    if (busy) {
      // A refusal now would be read as the response to the request that is being served.
      close(context);
      return;
    }
    FullHttpResponse response = response(status, new byte[0], callId(request));
    if (status.equals(HttpResponseStatus.UNAUTHORIZED)) {
      response.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, "Basic realm=\"member\"");
    }
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  private FullHttpResponse response(
      HttpResponseStatus status, byte[] body, Optional<String> callId) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-google-protobuf");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    response.headers().set(POSITION_HEADER, state.groupPosition());
    callId.ifPresent(id -> response.headers().set(CALL_HEADER, id));
    return response;
  }

  private void serveNext(ChannelHandlerContext context) {
    if (busy || queue.isEmpty()) {
      return;
    }
    busy = true;
    Work work = queue.remove();
    workers.execute(() -> serve(context, work));
  }

  /** Runs on a worker. */
  private void serve(ChannelHandlerContext context, Work work) {
    RequestContext request = RequestContext.begin(context.channel());
    FullHttpResponse response = null;
    try {
      Handler.HandlerResponse<byte[]> answer = avatica.apply(work.body);
      if (!request.unanswered()) {
        response =
            response(
                HttpResponseStatus.valueOf(answer.getStatusCode()),
                answer.getResponse(),
                work.callId);
      }
    } catch (RuntimeException e) {
      logger.error("closing a connection whose request could not be served", e);
    } finally {
      RequestContext.end();
    }
    FullHttpResponse served = response;
    context.executor().execute(() -> served(context, work, served));
  }

  private void served(ChannelHandlerContext context, Work work, FullHttpResponse response) {
    busy = false;
    if (response == null) {
      queue.clear();
      close(context);
      return;
    }
    var written = context.writeAndFlush(response);
    if (!work.keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    serveNext(context);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    queue.clear();
    Channel channel = context.channel();
    workers.execute(() -> sessions.closeAllOf(channel));
  }

  private static void close(ChannelHandlerContext context) {
    context.close().addListener(done -> logger.debug("closed {}", context.channel()));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    logger.debug("closing a connection", cause);
    close(context);
  }
}
