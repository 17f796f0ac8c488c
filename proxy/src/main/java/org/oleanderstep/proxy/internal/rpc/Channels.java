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
 * Channels by address, shared by all calls.
 *
 * <p>gRPC alone keeps using a connection that a partition has cut, until the operating system gives
 * it up, and waits up to two minutes before it connects again to an address that was down. Callers
 * report failures, so that a channel is renewed or connects again without that delay.
 */
public final class Channels implements AutoCloseable {

  /** Calls in sequence without an answer after which a connection counts as cut. */
  private static final int TIMEOUTS_BEFORE_RENEWAL = 3;

  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final EventLoopGroup threads;
  private final Optional<SslContext> tls;

  private static final class Link {
    private final ManagedChannel channel;
    private int timeouts;

    Link(ManagedChannel channel) {
      this.channel = channel;
    }
  }

  /**
   * Creates an empty set.
   *
   * @param threads event loops of the connections; the owner closes them
   * @param tls TLS of all channels; plain text if empty
   */
  public Channels(EventLoopGroup threads, Optional<SslContext> tls) {
    this.threads = threads;
    this.tls = tls;
  }

  /** Returns the channel to an address. */
  public Channel to(String address) {
    return links.computeIfAbsent(address, a -> new Link(open(a))).channel;
  }

  private ManagedChannel open(String address) {
    HostPort target =
        HostPort.parse(address)
            .orElseThrow(() -> new IllegalArgumentException("not an address: " + address));
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

  /** Notes that a call to an address was answered. */
  public void reportSuccess(String address) {
    links.computeIfPresent(
        address,
        (a, link) -> {
          link.timeouts = 0;
          return link;
        });
  }

  /** Notes that a call to an address failed. */
  public void reportFailure(String address, Throwable failure) {
    Status.Code code = Status.fromThrowable(failure).getCode();
    links.computeIfPresent(
        address,
        (a, link) -> {
          link.channel.resetConnectBackoff();
          link.timeouts = code == Status.Code.DEADLINE_EXCEEDED ? link.timeouts + 1 : 0;
          if (link.timeouts < TIMEOUTS_BEFORE_RENEWAL) {
            return link;
          }
          link.channel.shutdownNow();
          return null;
        });
  }

  @Override
  public void close() {
    links.values().forEach(link -> link.channel.shutdownNow());
    links.clear();
  }
}
