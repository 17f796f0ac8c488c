package org.oleanderstep.standins.platform;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.schema.v1.PlatformFaults;
import org.oleanderstep.schema.v1.Vm;

/** Answers the requests of one connection. */
final class PlatformHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final Logger logger = LogManager.getLogger(PlatformHandler.class);
  private static final String OBJECTS = "/objects";
  private static final String VMS = "/vms";
  private static final String FAULTS = "/faults";
  private static final String STATS = "/stats";
  private static final String COPY = "/copy";
  private static final String RESTORE = "/restore";
  private static final String ERA_HEADER = "Store-Era";
  private static final String VM_HEADER = "Oleanderstep-Vm";
  private static final String CALL_HEADER = "Oleanderstep-Call";
  private static final long MAX_WATCH_MILLIS = 120_000;

  /** The parts of a request that outlive its buffer. */
  private record Request(
      HttpMethod method,
      String path,
      QueryStringDecoder query,
      Optional<String> ifMatch,
      Optional<String> ifNoneMatch,
      ByteString body,
      String vm,
      Optional<String> callId,
      boolean keepAlive) {

    static Request of(FullHttpRequest http) {
      QueryStringDecoder query = new QueryStringDecoder(http.uri());
      return new Request(
          http.method(),
          query.path(),
          query,
          Optional.ofNullable(http.headers().get(HttpHeaderNames.IF_MATCH)),
          Optional.ofNullable(http.headers().get(HttpHeaderNames.IF_NONE_MATCH)),
          ByteString.copyFrom(ByteBufUtil.getBytes(http.content())),
          http.headers().get(VM_HEADER, ""),
          Optional.ofNullable(http.headers().get(CALL_HEADER)),
          HttpUtil.isKeepAlive(http));
    }

    Optional<String> parameter(String name) {
      List<String> values = query.parameters().getOrDefault(name, List.of());
      return values.stream().findFirst();
    }
  }

  private final PlatformState state;

  PlatformHandler(PlatformState state) {
    this.state = state;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest http) {
    Request request = Request.of(http);
    try {
      answer(context, request);
    } catch (IllegalArgumentException | InvalidProtocolBufferException e) {
      sendText(context, request, HttpResponseStatus.BAD_REQUEST, e.getMessage());
    }
  }

  private void answer(ChannelHandlerContext context, Request request)
      throws InvalidProtocolBufferException {
    String path = request.path();
    if (path.equals(FAULTS)) {
      answerFaults(context, request);
    } else if (path.equals(STATS)) {
      sendJson(context, request, state.counts().snapshot());
    } else if (path.equals(COPY) && request.method().equals(HttpMethod.PUT)) {
      state.copyObjects();
      sendText(context, request, HttpResponseStatus.OK, "");
    } else if (path.equals(RESTORE) && request.method().equals(HttpMethod.PUT)) {
      answerRestore(context, request);
    } else if (path.equals(VMS) || path.startsWith(VMS + "/")) {
      answerVms(context, request);
    } else if (path.equals(OBJECTS)) {
      answerList(context, request);
    } else if (path.startsWith(OBJECTS + "/")) {
      answerObject(context, request, path.substring(OBJECTS.length() + 1));
    } else {
      sendText(context, request, HttpResponseStatus.NOT_FOUND, "no such path: " + path);
    }
  }

  private void answerRestore(ChannelHandlerContext context, Request request) {
    try {
      state.restoreObjects();
      sendText(context, request, HttpResponseStatus.OK, "");
    } catch (IllegalStateException e) {
      sendText(context, request, HttpResponseStatus.CONFLICT, e.getMessage());
    }
  }

  private void answerFaults(ChannelHandlerContext context, Request request)
      throws InvalidProtocolBufferException {
    if (request.method().equals(HttpMethod.PUT)) {
      PlatformFaults.Builder faults = PlatformFaults.newBuilder();
      JsonFormat.parser().merge(request.body().toStringUtf8(), faults);
      state.replaceFaults(faults.build());
    }
    sendJson(context, request, state.faults().snapshot());
  }

  private void answerVms(ChannelHandlerContext context, Request request)
      throws InvalidProtocolBufferException {
    String name = request.path().substring(Math.min(request.path().length(), VMS.length() + 1));
    if (request.method().equals(HttpMethod.GET) && name.isEmpty()) {
      state.counts().vmLists.increment();
      if (!dropped(context, request)) {
        delayed(context, () -> sendJson(context, request, state.vms().list()));
      }
    } else if (request.method().equals(HttpMethod.PUT) && !name.isEmpty()) {
      Vm.Builder vm = Vm.newBuilder();
      JsonFormat.parser().merge(request.body().toStringUtf8(), vm);
      state.vms().put(vm.setName(name).build());
      sendText(context, request, HttpResponseStatus.OK, "");
    } else if (request.method().equals(HttpMethod.DELETE) && !name.isEmpty()) {
      boolean deleted = state.vms().delete(name);
      sendText(
          context, request, deleted ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND, "");
    } else {
      sendText(context, request, HttpResponseStatus.METHOD_NOT_ALLOWED, "");
    }
  }

  private void answerList(ChannelHandlerContext context, Request request) {
    state.counts().lists.increment();
    if (!dropped(context, request)) {
      String prefix = request.parameter("prefix").orElse("");
      delayed(context, () -> sendJson(context, request, state.objects().list(prefix)));
    }
  }

  private void answerObject(ChannelHandlerContext context, Request request, String name) {
    HttpMethod method = request.method();
    if (method.equals(HttpMethod.GET)) {
      answerRead(context, request, name);
    } else if (method.equals(HttpMethod.PUT) || method.equals(HttpMethod.DELETE)) {
      answerUpdate(context, request, name);
    } else {
      sendText(context, request, HttpResponseStatus.METHOD_NOT_ALLOWED, "");
    }
  }

  private void answerRead(ChannelHandlerContext context, Request request, String name) {
    Optional<Long> waitAfter = request.parameter("waitAfter").map(Long::parseLong);
    if (waitAfter.isPresent()) {
      answerWatch(context, request, name, waitAfter.get());
      return;
    }
    state.counts().reads.increment();
    if (!dropped(context, request)) {
      delayed(context, () -> sendObject(context, request, state.objects().get(name)));
    }
  }

  private void answerWatch(
      ChannelHandlerContext context, Request request, String name, long version) {
    long timeoutMillis =
        Math.min(
            MAX_WATCH_MILLIS, request.parameter("timeoutMs").map(Long::parseLong).orElse(30_000L));
    state.counts().watches.increment();
    // Known before the faults are read, so that a fault set at the same time closes it either way.
    state.addWaiting(context.channel(), request.vm());
    if (dropped(context, request)) {
      state.removeWaiting(context.channel());
      return;
    }
    CompletableFuture<Optional<StoredObject>> watch = state.objects().watch(name, version);
    state.counts().waitingWatches.incrementAndGet();
    // Closing the channel ends the watch, so that callers that went away are not counted.
    Future<?> unusedClose = context.channel().closeFuture().addListener(f -> watch.cancel(false));
    var timeout =
        context
            .executor()
            .schedule(() -> watch.cancel(false), timeoutMillis, TimeUnit.MILLISECONDS);
    CompletableFuture<?> unused =
        watch.whenComplete(
            (object, failure) -> {
              timeout.cancel(false);
              state.objects().cancel(name, watch);
              state.counts().waitingWatches.decrementAndGet();
              state.removeWaiting(context.channel());
              if (failure == null) {
                delayed(context, () -> sendObject(context, request, object));
              } else {
                HttpResponseStatus status =
                    failure instanceof HistoryGoneException
                        ? HttpResponseStatus.GONE
                        : HttpResponseStatus.NOT_MODIFIED;
                context.executor().execute(() -> sendText(context, request, status, ""));
              }
            });
  }

  private void answerUpdate(ChannelHandlerContext context, Request request, String name) {
    state.counts().updates.increment();
    if (dropped(context, request)) {
      return;
    }
    Condition condition = condition(request);
    delayed(
        context,
        () -> {
          UpdateResult result =
              request.method().equals(HttpMethod.PUT)
                  ? state.objects().put(name, condition, request.body())
                  : state.objects().delete(name, condition);
          sendUpdateResult(context, request, result);
        });
  }

  private void sendUpdateResult(
      ChannelHandlerContext context, Request request, UpdateResult result) {
    if (result instanceof UpdateResult.Updated updated) {
      if (state.faults().takeLostAnswer()) {
        closeConnection(context);
        return;
      }
      FullHttpResponse response = response(HttpResponseStatus.OK, "");
      response.headers().set(HttpHeaderNames.ETAG, etag(updated.version()));
      send(context, request, response);
      return;
    }
    state.counts().conflicts.increment();
    Optional<Long> present = ((UpdateResult.Conflict) result).present();
    FullHttpResponse response = response(HttpResponseStatus.PRECONDITION_FAILED, "");
    present.ifPresent(v -> response.headers().set(HttpHeaderNames.ETAG, etag(v)));
    send(context, request, response);
  }

  private static Condition condition(Request request) {
    if (request.ifNoneMatch().isPresent()) {
      if (!request.ifNoneMatch().get().equals("*")) {
        throw new IllegalArgumentException("If-None-Match supports only *");
      }
      return new Condition.Absent();
    }
    return request
        .ifMatch()
        .<Condition>map(tag -> new Condition.AtVersion(parseEtag(tag)))
        .orElseGet(Condition.None::new);
  }

  private static long parseEtag(String tag) {
    if (tag.length() < 3 || !tag.startsWith("\"") || !tag.endsWith("\"")) {
      throw new IllegalArgumentException("not an entity tag: " + tag);
    }
    return Long.parseLong(tag.substring(1, tag.length() - 1));
  }

  private static String etag(long version) {
    return "\"" + version + "\"";
  }

  private boolean dropped(ChannelHandlerContext context, Request request) {
    if (state.faults().dropsRequestOf(request.vm())) {
      closeConnection(context);
      return true;
    }
    return false;
  }

  private void delayed(ChannelHandlerContext context, Runnable answer) {
    Future<?> unused =
        context.executor().schedule(answer, state.faults().delayMillis(), TimeUnit.MILLISECONDS);
  }

  private void sendObject(
      ChannelHandlerContext context, Request request, Optional<StoredObject> object) {
    if (object.isEmpty()) {
      sendText(context, request, HttpResponseStatus.NOT_FOUND, "no such object");
      return;
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.OK,
            Unpooled.wrappedBuffer(object.get().value().asReadOnlyByteBuffer()));
    response.headers().set(HttpHeaderNames.ETAG, etag(object.get().version()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
    send(context, request, response);
  }

  private void sendJson(ChannelHandlerContext context, Request request, Message message) {
    try {
      String json = JsonFormat.printer().alwaysPrintFieldsWithNoPresence().print(message);
      FullHttpResponse response = response(HttpResponseStatus.OK, json);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      send(context, request, response);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private void sendText(
      ChannelHandlerContext context, Request request, HttpResponseStatus status, String text) {
    send(context, request, response(status, text));
  }

  private static FullHttpResponse response(HttpResponseStatus status, String text) {
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private void send(ChannelHandlerContext context, Request request, FullHttpResponse response) {
    response.headers().set(ERA_HEADER, state.objects().era());
    request.callId().ifPresent(id -> response.headers().set(CALL_HEADER, id));
    if (!response.status().equals(HttpResponseStatus.NOT_MODIFIED)) {
      HttpUtil.setContentLength(response, response.content().readableBytes());
    }
    HttpUtil.setKeepAlive(response, request.keepAlive());
    var sent = context.writeAndFlush(response);
    if (!request.keepAlive()) {
      Future<?> unused = sent.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private static void closeConnection(ChannelHandlerContext context) {
    Future<?> unused = context.close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    logger.debug("connection closed: {}", cause.toString());
    closeConnection(context);
  }
}
