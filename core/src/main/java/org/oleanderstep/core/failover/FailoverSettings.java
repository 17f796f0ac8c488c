package org.oleanderstep.core.failover;

import java.time.Duration;

/**
 * Times of failure detection.
 *
 * @param suspectAfter silence of a primary after which a proxy becomes a candidate
 * @param rankDelay extra delay for each rank, so that candidates rarely compete
 * @param attemptTimeout time after which a candidate gives up a term and tries a higher one
 * @param resendAfter time after which an unanswered fence or promotion is sent again
 * @param backoffBase longest delay before the second attempt; doubles with each further one
 * @param backoffLimit longest delay before any attempt
 * @param pauseLimit time without any call after which the process counts as paused
 */
public record FailoverSettings(
    Duration suspectAfter,
    Duration rankDelay,
    Duration attemptTimeout,
    Duration resendAfter,
    Duration backoffBase,
    Duration backoffLimit,
    Duration pauseLimit) {

  /** Settings that survive pauses of the primary of one second. */
  public static final FailoverSettings DEFAULT =
      new FailoverSettings(
          Duration.ofMillis(1_500), Duration.ofMillis(150), Duration.ofMillis(500));

  /** Checks that all times are positive. */
  public FailoverSettings {
    requirePositive(suspectAfter, "suspectAfter");
    requirePositive(attemptTimeout, "attemptTimeout");
    requirePositive(resendAfter, "resendAfter");
    requirePositive(backoffBase, "backoffBase");
    requirePositive(backoffLimit, "backoffLimit");
    requirePositive(pauseLimit, "pauseLimit");
    if (rankDelay.isNegative()) {
      throw new IllegalArgumentException("rankDelay must not be negative: " + rankDelay);
    }
  }

  /** Creates settings with the usual times for repeated messages, backoff and pauses. */
  public FailoverSettings(Duration suspectAfter, Duration rankDelay, Duration attemptTimeout) {
    this(
        suspectAfter,
        rankDelay,
        attemptTimeout,
        Duration.ofMillis(100),
        Duration.ofMillis(300),
        Duration.ofMillis(1_200),
        Duration.ofMillis(500));
  }

  private static void requirePositive(Duration duration, String name) {
    if (duration.isNegative() || duration.isZero()) {
      throw new IllegalArgumentException(name + " must be positive: " + duration);
    }
  }
}
