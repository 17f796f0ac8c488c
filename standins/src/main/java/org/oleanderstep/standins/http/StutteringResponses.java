package org.oleanderstep.standins.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.oleanderstep.client.Headers;

/**
 * Sends responses of one connection again, and bytes that are no response, as {@link Stutter} says.
 * Responses to calls without a call id are left alone, since no client could tell their copies from
 * other responses.
 */
public final class StutteringResponses extends ChannelOutboundHandlerAdapter {

  private static final int MAX_REPEAT_DELAY_MILLIS = 46;
  private static final int LATE_DELAY_MILLIS = 2_000;
  private static final byte[] LEFT_OVER =
      "HTTP/1.1 200 OK, said the row\r\n".getBytes(StandardCharsets.US_ASCII);

  private final Stutter stutter;
  private final Random random;

  /** Creates the handler of one connection. */
  public StutteringResponses(Stutter stutter, long seed) {
    this.stutter = stutter;
    this.random = new Random(seed);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (!(message instanceof FullHttpResponse response)
        || !response.headers().contains(Headers.CALL)) {
      super.write(context, message, promise);
      return;
    }
    if (random.nextDouble() < stutter.repeated()) {
      sendLater(context, response.copy(), 1 + random.nextInt(MAX_REPEAT_DELAY_MILLIS));
    }
    if (random.nextDouble() < stutter.late()) {
      sendLater(context, response.copy(), LATE_DELAY_MILLIS);
    }
    super.write(context, message, promise);
    if (random.nextDouble() < stutter.leftOver()) {
      ByteBuf bytes = Unpooled.wrappedBuffer(LEFT_OVER);
      Future<?> unused = context.pipeline().context(HttpServerCodec.class).write(bytes);
    }
  }

  private static void sendLater(
      ChannelHandlerContext context, FullHttpResponse copy, int delayMillis) {
    Future<?> unused =
        context.executor().schedule(() -> send(context, copy), delayMillis, TimeUnit.MILLISECONDS);
  }

  private static void send(ChannelHandlerContext context, FullHttpResponse copy) {
    Future<?> unused = context.writeAndFlush(copy);
  }
}
