package org.oleanderstep.proxy.internal.rpc;

import io.grpc.Channel;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.oleanderstep.proxy.internal.settings.HostPort;

/**
 * Caches one gRPC channel per address. Thread-safe.
 *
 * <p>Without further measures, gRPC uses a connection that was lost in a partition until the
 * operating system closes it, and backs off for up to two minutes before it reconnects to an
 * address that was down. Callers therefore report failures, upon which a channel is replaced or its
 * back-off is reset.
 */
public final class Channels implements AutoCloseable {

  /** Consecutive timeouts after which a connection is regarded as lost. */
  private static final int TIMEOUTS_BEFORE_RENEWAL = 3;

  private final Map<String, TrackedChannel> channels = new ConcurrentHashMap<>();
  private final EventLoopGroup threads;
  private final Optional<SslContext> tls;

  private static final class TrackedChannel {
    private final ManagedChannel channel;
    private int timeouts;

    TrackedChannel(ManagedChannel channel) {
      this.channel = channel;
    }
  }

  /**
   * Creates a cache without channels.
   *
   * @param threads event loops of the connections; the caller closes them
   * @param tls TLS context of all channels; plain text if empty
   */
  public Channels(EventLoopGroup threads, Optional<SslContext> tls) {
    this.threads = threads;
    this.tls = tls;
  }

  /** Returns the channel to an address, and creates it if necessary. */
  public Channel to(String address) {
    return channels.computeIfAbsent(address, a -> new TrackedChannel(open(a))).channel;
  }

  private ManagedChannel open(String address) {
    HostPort target =
        HostPort.parse(address)
            .orElseThrow(() -> new IllegalArgumentException("not a host:port address: " + address));
    NettyChannelBuilder builder =
        NettyChannelBuilder.forAddress(target.toSocketAddress())
            .eventLoopGroup(threads)
            .channelType(NioSocketChannel.class)
            .directExecutor();
    if (tls.isPresent()) {
      return builder.sslContext(tls.get()).build();
    }
    return builder.usePlaintext().build();
  }

  /** Reports that a call to an address succeeded, which resets its count of timeouts. */
  public void reportSuccess(String address) {
    channels.computeIfPresent(
        address,
        (a, tracked) -> {
          tracked.timeouts = 0;
          return tracked;
        });
  }

  /** Reports that a call failed; replaces the channel after repeated timeouts. */
  public void reportFailure(String address, Throwable failure) {
    Status.Code code = Status.fromThrowable(failure).getCode();
    channels.computeIfPresent(
        address,
        (a, tracked) -> {
          tracked.channel.resetConnectBackoff();
          tracked.timeouts = code == Status.Code.DEADLINE_EXCEEDED ? tracked.timeouts + 1 : 0;
          if (tracked.timeouts < TIMEOUTS_BEFORE_RENEWAL) {
            return tracked;
          }
          tracked.channel.shutdownNow();
          return null;
        });
  }

  @Override
  public void close() {
    channels.values().forEach(tracked -> tracked.channel.shutdownNow());
    channels.clear();
  }
}
