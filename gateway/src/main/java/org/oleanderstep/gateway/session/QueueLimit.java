package org.oleanderstep.gateway.session;

import java.time.Duration;

/**
 * Limits how long a statement may wait for a connection.
 *
 * <p>When all connections are in use, a statement that starts late cannot finish within its
 * timeout. An early refusal leaves the caller time to retry elsewhere.
 */
final class QueueLimit {

  private static final double MAX_WAIT_FRACTION = 0.6;

  /** A retried statement may wait longer, because part of its timeout is already used up. */
  private static final double RETRY_MAX_WAIT_FRACTION = 0.9;

  private QueueLimit() {}

  /** Returns the monotonic time, in nanoseconds, at which a waiting statement is refused. */
  static long expiresAt(long arrivedAt, Duration timeout, int attempts) {
    double fraction = attempts == 0 ? MAX_WAIT_FRACTION : RETRY_MAX_WAIT_FRACTION;
    return arrivedAt + (long) (timeout.toNanos() * fraction);
  }
}
