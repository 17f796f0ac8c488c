package org.oleanderstep.proxy.internal.server;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.oleanderstep.proxy.internal.settings.HostPort;

/** gRPC server for other proxies and for operators. */
public final class PeerServer implements AutoCloseable {

  private static final long STOP_TIMEOUT_SECONDS = 1;

  private final Server server;

  private PeerServer(Server server) {
    this.server = server;
  }

  /** Starts the server; port zero picks a free port. */
  public static PeerServer start(
      HostPort address,
      Optional<SslContext> tls,
      EventLoopGroup threads,
      List<BindableService> services) {
    NettyServerBuilder builder =
        NettyServerBuilder.forAddress(address.toSocketAddress())
            .bossEventLoopGroup(threads)
            .workerEventLoopGroup(threads)
            .channelType(NioServerSocketChannel.class)
            .directExecutor();
    tls.ifPresent(builder::sslContext);
    services.forEach(builder::addService);
    try {
      return new PeerServer(builder.build().start());
    } catch (IOException e) {
      throw new UncheckedIOException("peerAddress " + address + " cannot be bound", e);
    }
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return server.getPort();
  }

  @Override
  public void close() {
    server.shutdownNow();
    try {
      boolean unused = server.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
