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
 * Reads the calls of one network connection and writes their responses in the same order. Not
 * thread-safe; fields are used only on the connection's event loop.
 */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final Logger LOG = LogManager.getLogger(CallerHandler.class);
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
  private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
  private static final int MAX_PIPELINED = 16;
  private static final String BASIC = "Basic ";

  private final CallService service;
  private final BooleanSupplier draining;
  private final Queue<PendingCall> waiting = new ArrayDeque<>();
  private final Set<CallerConnection.Id> usedConnections = ConcurrentHashMap.newKeySet();
  private boolean busy;

  /** A call that was read and waits for the response to the previous one. */
  private static final class PendingCall {
    final CallerCall call;
    final byte[] body;
    final boolean keepAlive;

    PendingCall(CallerCall call, byte[] body, boolean keepAlive) {
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
      refuse(context, HttpResponseStatus.BAD_REQUEST, "the request is not valid HTTP");
      return;
    }
    if (!request.method().equals(HttpMethod.POST)) {
      refuse(context, HttpResponseStatus.METHOD_NOT_ALLOWED, "the method must be POST");
      return;
    }
    if (waiting.size() >= MAX_PIPELINED) {
      close(context);
      return;
    }
    try {
      CallerCall call = parse(context.channel(), request);
      byte[] body = ByteBufUtil.getBytes(request.content());
      waiting.add(new PendingCall(call, body, HttpUtil.isKeepAlive(request)));
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
    BooleanSupplier disconnected = () -> !channel.isActive();
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
      throw badRequest("the path must be /v1/{service}/{database}");
    }
    return new DatabaseId(parts.get(2), parts.get(3));
  }

  private static Optional<CallerCall.Credentials> credentials(String header) {
    if (header == null) {
      return Optional.empty();
    }
    if (!header.startsWith(BASIC)) {
      throw badRequest("the Authorization header must use the Basic scheme");
    }
    String text = new String(decode(header.substring(BASIC.length())), StandardCharsets.UTF_8);
    int colon = text.indexOf(':');
    if (colon < 1) {
      throw badRequest("the Authorization header has no key id");
    }
    return Optional.of(
        new CallerCall.Credentials(text.substring(0, colon), text.substring(colon + 1)));
  }

  private static byte[] decode(String base64) {
    try {
      return Base64.getMimeDecoder().decode(base64.replace('-', '+').replace('_', '/'));
    } catch (IllegalArgumentException e) {
      throw badRequest("a header is not valid Base64");
    }
  }

  private static Optional<String> requestId(String header) {
    if (header != null && (header.isBlank() || header.length() > RequestIds.MAX_LENGTH)) {
      throw badRequest("a request id must have 1 to " + RequestIds.MAX_LENGTH + " characters");
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
      throw badRequest("the deadline is not a number of milliseconds");
    }
    throw badRequest("the deadline must be positive");
  }

  private static Optional<Common.ConnectionProperties> properties(String header) {
    if (header == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Common.ConnectionProperties.parseFrom(decode(header)));
    } catch (InvalidProtocolBufferException e) {
      throw badRequest("the connection properties cannot be parsed");
    }
  }

  private static OutcomeException badRequest(String detail) {
    return OutcomeException.notRun(NotRunReason.BAD_REQUEST, detail);
  }

  private void serveNext(ChannelHandlerContext context) {
    if (busy || waiting.isEmpty()) {
      return;
    }
    busy = true;
    PendingCall next = waiting.remove();
    var unused =
        service.serve(next.call, next.body).thenAccept(result -> respond(context, result, next));
  }

  /** Writes a response. Thread-safe. */
  private void respond(ChannelHandlerContext context, CallerResponse result, PendingCall pending) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status(result, pending), Unpooled.wrappedBuffer(result.body()));
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_OCTET_STREAM);
    headers.setInt(HttpHeaderNames.CONTENT_LENGTH, result.body().length);
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
