package org.oleanderstep.gateway.session;

import java.time.Duration;

/** Decides whether and when a statement that had no effect is retried. */
final class StatementRetryPolicy {

  /** Gives a busy member time to finish other statements. */
  static final Duration RETRY_DELAY = Duration.ofMillis(10);

  private static final int MAX_ATTEMPTS = 5;

  private StatementRetryPolicy() {}

  /** Returns whether no attempt is left; times are in nanoseconds of the monotonic clock. */
  static boolean isExhausted(int attempts, long now, long deadline) {
    return attempts >= MAX_ATTEMPTS || now - deadline >= 0;
  }

  /**
   * Returns the monotonic time of the next attempt. After {@link FailureCode#BEHIND}, another
   * member may be tried immediately.
   */
  static long nextAttemptAt(FailureCode code, long now) {
    return code == FailureCode.BEHIND ? now : now + RETRY_DELAY.toNanos();
  }
}
