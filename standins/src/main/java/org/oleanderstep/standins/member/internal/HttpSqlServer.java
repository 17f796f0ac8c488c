package org.oleanderstep.standins.member.internal;

import io.netty.bootstrap.ServerBootstrap;
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
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.standins.http.Stutter;
import org.oleanderstep.standins.http.StutteringResponses;

/** Listens for the Avatica protocol over HTTP. */
final class HttpSqlServer implements AutoCloseable {

  private static final Logger logger = LogManager.getLogger(HttpSqlServer.class);
  private static final int MAX_REQUEST_BYTES = 16 << 20;

  private final EventLoopGroup eventLoops;
  private final ChannelGroup clients = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Stutter stutter;
  private final AtomicLong connectionCount = new AtomicLong();
  private Channel server;

  HttpSqlServer(EventLoopGroup eventLoops, Stutter stutter) {
    this.eventLoops = eventLoops;
    this.stutter = stutter;
  }

  /** Starts listening; each TCP connection gets a handler of its own. */
  void start(InetSocketAddress address, Supplier<SqlRequestHandler> handlers) {
    server =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    clients.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_REQUEST_BYTES),
                            new StutteringResponses(stutter, connectionCount.incrementAndGet()),
                            handlers.get());
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  /** Closes all TCP connections of clients without waiting; their sessions roll back. */
  void closeClients() {
    clients.close().addListener(done -> logger.debug("closed the connections of clients"));
  }

  @Override
  public void close() {
    if (server != null) {
      server.close().syncUninterruptibly();
    }
    clients.close().awaitUninterruptibly();
  }
}
