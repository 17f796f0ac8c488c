package org.oleanderstep.proxy.internal.traffic;

import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * Settings of the traffic plane.
 *
 * @param address listen address for callers; port zero picks a free port
 * @param tls TLS context for callers, empty for plain HTTP
 * @param maxFrameBytes maximum size of a call
 * @param maxStatementBytes maximum length of a statement text
 * @param maxConnections maximum number of concurrent network connections of callers
 * @param maxRowsPerFrame maximum number of rows in one response
 * @param idleTimeout time without a call after which connections and cursors are closed
 * @param maxQueuedRequests maximum number of requests that wait for a member, for each organisation
 * @param statementTimeout maximum run time of a statement
 * @param requestIdRetention how long request ids and their recorded responses are kept
 * @param workers number of threads for blocking calls to targets
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

  /** Checks that the limits and the number of workers are at least 1. */
  public TrafficSettings {
    int smallest =
        Math.min(
            Math.min(Math.min(maxFrameBytes, maxStatementBytes), maxConnections),
            Math.min(Math.min(maxRowsPerFrame, maxQueuedRequests), workers));
    if (smallest < 1) {
      throw new IllegalArgumentException(
          "the limits for callers and the number of workers must be at least 1");
    }
  }

  /** Returns the default settings for an address, without TLS. */
  public static TrafficSettings withDefaults(InetSocketAddress address) {
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
