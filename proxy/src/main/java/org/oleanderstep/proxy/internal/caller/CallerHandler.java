package org.oleanderstep.proxy.internal.caller;

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
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.client.Headers;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.proxy.internal.target.OutcomeException;

/**
 * Reads the calls of one network connection and writes their responses in the same order. Not
 * thread-safe; fields are used only on the connection's event loop.
 */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final Logger LOG = LogManager.getLogger(CallerHandler.class);
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
  private static final int MAX_PIPELINED = 16;

  private final CallService service;
  private final BooleanSupplier draining;
  private final Queue<Pending> waiting = new ArrayDeque<>();
  private final Set<CallerConnection.Id> usedConnections = ConcurrentHashMap.newKeySet();
  private boolean busy;
  private boolean refused;

  /** What was read and waits for the response to the previous call. */
  private sealed interface Pending {}

  /** A call to serve. */
  private static final class PendingCall implements Pending {
    final CallerCall call;
    final byte[] body;
    final Optional<String> callId;
    final boolean keepAlive;

    PendingCall(CallerCall call, byte[] body, Optional<String> callId, boolean keepAlive) {
      this.call = call;
      this.body = body;
      this.callId = callId;
      this.keepAlive = keepAlive;
    }
  }

  /** A request to refuse, after which the connection closes. */
  private record PendingRefusal(HttpResponseStatus status, String detail, Optional<String> callId)
      implements Pending {}

  CallerHandler(CallService service, BooleanSupplier draining) {
    this.service = service;
    this.draining = draining;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (refused) {
      return;
    }
    if (waiting.size() >= MAX_PIPELINED) {
      close(context);
      return;
    }
    Pending read = read(context.channel(), request);
    refused = read instanceof PendingRefusal;
    waiting.add(read);
    serveNext(context);
  }

  private Pending read(Channel channel, FullHttpRequest request) {
    Optional<String> callId = CallHeaders.callId(request.headers());
    if (!request.decoderResult().isSuccess()) {
      return new PendingRefusal(
          HttpResponseStatus.BAD_REQUEST, "the request is not valid HTTP", callId);
    }
    if (!request.method().equals(HttpMethod.POST)) {
      return new PendingRefusal(
          HttpResponseStatus.METHOD_NOT_ALLOWED, "the method must be POST", callId);
    }
    try {
      CallerCall call = parse(channel, request);
      byte[] body = ByteBufUtil.getBytes(request.content());
      return new PendingCall(call, body, callId, HttpUtil.isKeepAlive(request));
    } catch (OutcomeException e) {
      return new PendingRefusal(HttpResponseStatus.BAD_REQUEST, detail(e), callId);
    }
  }

  private static String detail(OutcomeException e) {
    return e.outcome() instanceof Outcome.NotRun notRun ? notRun.detail() : "bad request";
  }

  private CallerCall parse(Channel channel, FullHttpRequest request) {
    CallHeaders headers = new CallHeaders(request.headers());
    BooleanSupplier disconnected = () -> !channel.isActive();
    return new CallerCall(
        database(request.uri()),
        headers.credentials(),
        headers.sessionToken(),
        headers.hasUnknownWrite(),
        headers.requestId(),
        System.nanoTime() + headers.deadline().toNanos(),
        headers.connectionProperties(),
        headers.statementText(),
        disconnected,
        usedConnections);
  }

  private static DatabaseId database(String uri) {
    int end = uri.indexOf('?');
    List<String> parts = List.of((end < 0 ? uri : uri.substring(0, end)).split("/", -1));
    boolean valid =
        parts.size() == 4
            && parts.get(0).isEmpty()
            && parts.get(1).equals("v1")
            && NAME.matcher(parts.get(2)).matches()
            && NAME.matcher(parts.get(3)).matches();
    if (!valid) {
      throw CallHeaders.badRequest("the path must be /v1/{service}/{database}");
    }
    return new DatabaseId(parts.get(2), parts.get(3));
  }

  private void serveNext(ChannelHandlerContext context) {
    if (busy || waiting.isEmpty()) {
      return;
    }
    busy = true;
    Pending next = waiting.remove();
    if (next instanceof PendingRefusal refusal) {
      refuse(context, refusal);
    } else if (next instanceof PendingCall call) {
      var unused =
          service.serve(call.call, call.body).thenAccept(result -> respond(context, result, call));
    }
  }

  /** Writes a response. Thread-safe. */
  private void respond(ChannelHandlerContext context, CallerResponse result, PendingCall pending) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status(result, pending), Unpooled.wrappedBuffer(result.body()));
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_OCTET_STREAM);
    headers.setInt(HttpHeaderNames.CONTENT_LENGTH, result.body().length);
    pending.callId.ifPresent(id -> headers.set(Headers.CALL, id));
    result.sessionToken().ifPresent(token -> headers.set(Headers.SESSION, token));
    if (response.status().equals(HttpResponseStatus.UNAUTHORIZED)) {
      headers.set(HttpHeaderNames.WWW_AUTHENTICATE, "Basic realm=\"oleanderstep\"");
    }
    boolean inTransaction = result.inTransaction();
    // While draining, calls that arrived in the same packet are read before the connection closes.
    if (context.executor().inEventLoop() && !draining.getAsBoolean()) {
      write(context, response, pending.keepAlive, inTransaction);
    } else {
      context.executor().execute(() -> write(context, response, pending.keepAlive, inTransaction));
    }
  }

  /** Status 401 is needed because the driver's stock client sends its key only when challenged. */
  private static HttpResponseStatus status(CallerResponse result, PendingCall pending) {
    if (!result.failed()) {
      return HttpResponseStatus.OK;
    }
    return result.keyRefused() && pending.call.credentials().isEmpty()
        ? HttpResponseStatus.UNAUTHORIZED
        : HttpResponseStatus.INTERNAL_SERVER_ERROR;
  }

  private void write(
      ChannelHandlerContext context,
      FullHttpResponse response,
      boolean keepAlive,
      boolean inTransaction) {
    busy = false;
    // A transaction ends with its network connection, and calls that were read still need their
    // responses, so that the connection stays open for both while draining.
    boolean drained = draining.getAsBoolean() && !inTransaction && waiting.isEmpty();
    boolean close = !keepAlive || drained;
    if (close) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    var written = context.writeAndFlush(response);
    if (close) {
      waiting.clear();
      written.addListener(ChannelFutureListener.CLOSE);
    } else {
      serveNext(context);
    }
  }

  private static void refuse(ChannelHandlerContext context, PendingRefusal refusal) {
    byte[] text = ("not run: " + refusal.detail() + "\n").getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, refusal.status(), Unpooled.wrappedBuffer(text));
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    headers.setInt(HttpHeaderNames.CONTENT_LENGTH, text.length);
    headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    refusal.callId().ifPresent(id -> headers.set(Headers.CALL, id));
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    waiting.clear();
    service.onCallerDisconnected(usedConnections);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent && !busy) {
      close(context);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug("connection of a caller failed with {}", cause.getClass().getSimpleName());
    close(context);
  }

  private static void close(ChannelHandlerContext context) {
    context.close().addListener(done -> LOG.trace("closed {}", context.channel()));
  }
}
