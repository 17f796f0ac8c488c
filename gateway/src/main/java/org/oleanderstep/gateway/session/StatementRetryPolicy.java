package org.oleanderstep.gateway.session;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.oleanderstep.gateway.target.ServiceRetries;

/** Decides whether and when a statement that had no effect is retried. */
final class StatementRetryPolicy {

  /** Gives a busy member time to finish other statements. */
  static final Duration RETRY_DELAY = Duration.ofMillis(10);

  private static final int MAX_ATTEMPTS = 5;

  private StatementRetryPolicy() {}

  /**
   * Returns the monotonic time of the next attempt, in nanoseconds; empty if there is none.
   *
   * @param retries the limits of the service, if it has any: then each retry takes credit, is
   *     delayed by more than the one before, and must begin before the statement may wait no longer
   * @param arrivedAt monotonic time of the statement's arrival
   */
  static OptionalLong nextAttemptAt(
      Optional<ServiceRetries> retries,
      FailureCode code,
      int attempts,
      long now,
      long arrivedAt,
      Duration timeout,
      SessionMetrics metrics) {
    if (isExhausted(attempts, now, arrivedAt + timeout.toNanos())) {
      return OptionalLong.empty();
    }
    if (retries.isEmpty()) {
      return OptionalLong.of(nextAttemptAt(code, now));
    }
    OptionalLong at = retries.get().tryRetry(code, attempts, now);
    if (at.isEmpty()) {
      metrics.recordRetryDenied();
      return at;
    }
    boolean inTime = at.getAsLong() - QueueLimit.expiresAt(arrivedAt, timeout, attempts) < 0;
    return inTime ? at : OptionalLong.empty();
  }

  /** Returns whether no attempt is left; times are in nanoseconds of the monotonic clock. */
  private static boolean isExhausted(int attempts, long now, long deadline) {
    return attempts >= MAX_ATTEMPTS || now - deadline >= 0;
  }

  /**
   * Returns the monotonic time of the next attempt. After {@link FailureCode#BEHIND}, another
   * member may be tried immediately.
   */
  private static long nextAttemptAt(FailureCode code, long now) {
    return code == FailureCode.BEHIND ? now : now + RETRY_DELAY.toNanos();
  }
}
