package org.oleanderstep.proxy.internal.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.proxy.internal.traffic.TrafficSettings;

/** Accepts Avatica calls over HTTP, with TLS if configured. */
public final class CallerServer implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(CallerServer.class);
  private static final int MAX_INITIAL_LINE = 1_024;
  private static final int MAX_HEADERS = 64 << 10;
  private static final int MAX_CHUNK = 64 << 10;

  private final EventLoopGroup eventLoops;
  private final TrafficSettings settings;
  private final CallService service;
  private final ChannelGroup callers = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel listener;
  private volatile boolean draining;

  /** Creates the server. It accepts connections after {@link #start}. */
  public CallerServer(EventLoopGroup eventLoops, TrafficSettings settings, CallService service) {
    this.eventLoops = eventLoops;
    this.settings = settings;
    this.service = service;
  }

  /** Starts to listen. */
  public void start() {
    listener =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1_024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                })
            .bind(settings.address())
            .syncUninterruptibly()
            .channel();
  }

  private void accept(SocketChannel channel) {
    if (callers.size() >= settings.maxConnections()) {
      LOG.warn("rejected a caller: {} connections are open, which is the limit", callers.size());
      channel.close().addListener(done -> LOG.debug("closed a connection over the limit"));
      return;
    }
    callers.add(channel);
    settings.tls().ifPresent(tls -> channel.pipeline().addLast(tls.newHandler(channel.alloc())));
    channel
        .pipeline()
        .addLast(
            new IdleStateHandler(0, 0, settings.idleTimeout().toMillis(), TimeUnit.MILLISECONDS),
            new HttpServerCodec(MAX_INITIAL_LINE, MAX_HEADERS, MAX_CHUNK),
            new HttpObjectAggregator(settings.maxFrameBytes(), true),
            new CallerHandler(service, () -> draining));
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Starts to close each connection after its next response, except within a transaction. */
  public void startDraining() {
    draining = true;
  }

  /** Stops listening; open connections stay open, and running calls still get their responses. */
  public void stopAccepting() {
    listener.close().syncUninterruptibly();
  }

  /** Returns the number of open network connections. */
  public int connections() {
    return callers.size();
  }

  @Override
  public void close() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
    }
    callers.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
  }
}
