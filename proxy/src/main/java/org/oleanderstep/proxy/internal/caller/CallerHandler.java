package org.oleanderstep.proxy.internal.caller;

import com.google.protobuf.InvalidProtocolBufferException;
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
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.apache.calcite.avatica.proto.Common;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.client.Headers;
import org.oleanderstep.client.RequestIds;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.proxy.internal.target.OutcomeException;

/**
 * Reads the calls of one network connection and writes their answers in the same order. All fields
 * belong to the connection's event loop.
 */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final Logger LOG = LogManager.getLogger(CallerHandler.class);
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
  private static final int MAX_PIPELINED = 16;
  private static final String BASIC = "Basic ";

  private final CallService service;
  private final BooleanSupplier draining;
  private final Queue<Pending> waiting = new ArrayDeque<>();
  private final Set<CallerConnection.Id> usedConnections = ConcurrentHashMap.newKeySet();
  private boolean busy;

  /** A call that was read and waits for the answer to the one before. */
  private static final class Pending {
    final CallerCall call;
    final byte[] body;
    final boolean keepAlive;

    Pending(CallerCall call, byte[] body, boolean keepAlive) {
      this.call = call;
      this.body = body;
      this.keepAlive = keepAlive;
    }
  }

  CallerHandler(CallService service, BooleanSupplier draining) {
    this.service = service;
    this.draining = draining;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (!request.decoderResult().isSuccess()) {
      refuse(context, HttpResponseStatus.BAD_REQUEST, "the call is not HTTP");
      return;
    }
    if (!request.method().equals(HttpMethod.POST)) {
      refuse(context, HttpResponseStatus.METHOD_NOT_ALLOWED, "calls use POST");
      return;
    }
    if (waiting.size() >= MAX_PIPELINED) {
      close(context);
      return;
    }
    try {
      CallerCall call = parse(context.channel(), request);
      byte[] body = ByteBufUtil.getBytes(request.content());
      waiting.add(new Pending(call, body, HttpUtil.isKeepAlive(request)));
      serveNext(context);
    } catch (OutcomeException e) {
      refuse(context, HttpResponseStatus.BAD_REQUEST, detail(e));
    }
  }

  private static String detail(OutcomeException e) {
    return e.outcome() instanceof Outcome.NotRun notRun ? notRun.detail() : "bad request";
  }

  private CallerCall parse(Channel channel, FullHttpRequest request) {
    HttpHeaders headers = request.headers();
    BooleanSupplier gone = () -> !channel.isActive();
    return new CallerCall(
        database(request.uri()),
        credentials(headers.get(HttpHeaderNames.AUTHORIZATION)),
        Optional.ofNullable(headers.get(Headers.SESSION)),
        headers.contains(Headers.UNKNOWN_WRITE),
        requestId(headers.get(Headers.REQUEST_ID)),
        System.nanoTime() + deadline(headers.get(Headers.DEADLINE_MS)).toNanos(),
        properties(headers.get(Headers.CONNECTION)),
        Optional.ofNullable(headers.get(Headers.STATEMENT))
            .map(text -> new String(decode(text), StandardCharsets.UTF_8)),
        gone,
        usedConnections);
  }

  private static DatabaseId database(String uri) {
    int end = uri.indexOf('?');
    List<String> parts = List.of((end < 0 ? uri : uri.substring(0, end)).split("/", -1));
    boolean named =
        parts.size() == 4
            && parts.get(0).isEmpty()
            && parts.get(1).equals("v1")
            && NAME.matcher(parts.get(2)).matches()
            && NAME.matcher(parts.get(3)).matches();
    if (!named) {
      throw bad("the path is /v1/{service}/{database}");
    }
    return new DatabaseId(parts.get(2), parts.get(3));
  }

  private static Optional<CallerCall.Credentials> credentials(String header) {
    if (header == null) {
      return Optional.empty();
    }
    if (!header.startsWith(BASIC)) {
      throw bad("keys come by Basic authorization");
    }
    String text = new String(decode(header.substring(BASIC.length())), StandardCharsets.UTF_8);
    int colon = text.indexOf(':');
    if (colon < 1) {
      throw bad("the authorization has no key id");
    }
    return Optional.of(
        new CallerCall.Credentials(text.substring(0, colon), text.substring(colon + 1)));
  }

  private static byte[] decode(String base64) {
    try {
      return Base64.getMimeDecoder().decode(base64.replace('-', '+').replace('_', '/'));
    } catch (IllegalArgumentException e) {
      throw bad("a header is not Base64");
    }
  }

  private static Optional<String> requestId(String header) {
    if (header != null && (header.isBlank() || header.length() > RequestIds.MAX_LENGTH)) {
      throw bad("a request id has 1 to " + RequestIds.MAX_LENGTH + " characters");
    }
    return Optional.ofNullable(header);
  }

  private static Duration deadline(String header) {
    if (header == null) {
      return DEFAULT_DEADLINE;
    }
    try {
      long millis = Long.parseLong(header);
      if (millis > 0) {
        return Duration.ofMillis(Math.min(millis, Duration.ofHours(1).toMillis()));
      }
    } catch (NumberFormatException e) {
      throw bad("the deadline is not a number of milliseconds");
    }
    throw bad("the deadline must be positive");
  }

  private static Optional<Common.ConnectionProperties> properties(String header) {
    if (header == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Common.ConnectionProperties.parseFrom(decode(header)));
    } catch (InvalidProtocolBufferException e) {
      throw bad("the connection properties cannot be read");
    }
  }

  private static OutcomeException bad(String detail) {
    return OutcomeException.notRun(NotRunReason.BAD_REQUEST, detail);
  }

  private void serveNext(ChannelHandlerContext context) {
    if (busy || waiting.isEmpty()) {
      return;
    }
    busy = true;
    Pending next = waiting.remove();
    var unused =
        service.serve(next.call, next.body).thenAccept(answer -> answer(context, answer, next));
  }

  /** Writes an answer; on any thread. */
  private void answer(ChannelHandlerContext context, CallerAnswer answer, Pending pending) {
    // A transaction ends with its network connection, so that one stays open while it drains.
    boolean close = !pending.keepAlive || (draining.getAsBoolean() && !answer.inTransaction());
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status(answer, pending), Unpooled.wrappedBuffer(answer.body()));
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_OCTET_STREAM);
    headers.setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    answer.sessionToken().ifPresent(token -> headers.set(Headers.SESSION, token));
    if (response.status().equals(HttpResponseStatus.UNAUTHORIZED)) {
      headers.set(HttpHeaderNames.WWW_AUTHENTICATE, "Basic realm=\"oleanderstep\"");
    }
    if (close) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    if (context.executor().inEventLoop()) {
      write(context, response, close);
    } else {
      context.executor().execute(() -> write(context, response, close));
    }
  }

  /** The stock client of the driver sends its key only after it was asked for it. */
  private static HttpResponseStatus status(CallerAnswer answer, Pending pending) {
    if (!answer.failed()) {
      return HttpResponseStatus.OK;
    }
    return answer.keyRefused() && pending.call.credentials().isEmpty()
        ? HttpResponseStatus.UNAUTHORIZED
        : HttpResponseStatus.INTERNAL_SERVER_ERROR;
  }

  private void write(ChannelHandlerContext context, FullHttpResponse response, boolean close) {
    busy = false;
    var written = context.writeAndFlush(response);
    if (close) {
      waiting.clear();
      written.addListener(ChannelFutureListener.CLOSE);
    } else {
      serveNext(context);
    }
  }

  private static void refuse(
      ChannelHandlerContext context, HttpResponseStatus status, String detail) {
    byte[] text = ("not run: " + detail + "\n").getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(text));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        .setInt(HttpHeaderNames.CONTENT_LENGTH, text.length)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    waiting.clear();
    service.onCallerGone(usedConnections);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent && !busy) {
      close(context);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug("a caller's connection failed with {}", cause.getClass().getSimpleName());
    close(context);
  }

  private static void close(ChannelHandlerContext context) {
    context.close().addListener(done -> LOG.trace("closed {}", context.channel()));
  }
}
