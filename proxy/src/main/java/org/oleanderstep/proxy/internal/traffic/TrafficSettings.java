package org.oleanderstep.proxy.internal.traffic;

import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * Settings of the traffic side.
 *
 * @param address where callers are served; port zero picks a free one
 * @param tls context for callers, empty for plain HTTP
 * @param maxFrameBytes largest call
 * @param maxStatementBytes longest statement text
 * @param maxConnections callers' network connections at the same time
 * @param maxRowsPerFrame most rows of one answer
 * @param idleTimeout time without a call after which connections and cursors are closed
 * @param maxQueuedRequests requests that wait for a member, for each organisation
 * @param statementTimeout longest time of one statement
 * @param requestIdRetention how long the answers of request ids are kept
 * @param workers threads for blocking calls to targets
 */
public record TrafficSettings(
    InetSocketAddress address,
    Optional<SslContext> tls,
    int maxFrameBytes,
    int maxStatementBytes,
    int maxConnections,
    int maxRowsPerFrame,
    Duration idleTimeout,
    int maxQueuedRequests,
    Duration statementTimeout,
    Duration requestIdRetention,
    int workers) {

  /** Checks that all limits are positive. */
  public TrafficSettings {
    int smallest =
        Math.min(
            Math.min(Math.min(maxFrameBytes, maxStatementBytes), maxConnections),
            Math.min(Math.min(maxRowsPerFrame, maxQueuedRequests), workers));
    if (smallest < 1) {
      throw new IllegalArgumentException("the limits of the caller side must be positive");
    }
  }

  /** Returns the default settings for an address, without TLS. */
  public static TrafficSettings at(InetSocketAddress address) {
    return new TrafficSettings(
        address,
        Optional.empty(),
        8 << 20,
        1 << 20,
        10_000,
        1_000,
        Duration.ofMinutes(5),
        1_000,
        Duration.ofSeconds(30),
        Duration.ofHours(24),
        64);
  }
}
