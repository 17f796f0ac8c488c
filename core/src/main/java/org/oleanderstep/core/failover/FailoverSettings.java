package org.oleanderstep.core.failover;

import java.time.Duration;

/**
 * Timeouts and delays of failure detection and failover.
 *
 * @param suspectAfter time without contact after which the primary is suspected
 * @param rankDelay additional delay for each rank, so that candidates rarely compete
 * @param attemptTimeout time after which a candidate abandons a term
 * @param resendAfter time after which an unanswered fence or promotion is sent again
 * @param backoffBase maximum delay before the second attempt; doubles with each further one
 * @param backoffLimit upper limit of the delay before an attempt
 * @param pauseLimit time without any call to the controller after which the process is considered
 *     to have been paused
 */
public record FailoverSettings(
    Duration suspectAfter,
    Duration rankDelay,
    Duration attemptTimeout,
    Duration resendAfter,
    Duration backoffBase,
    Duration backoffLimit,
    Duration pauseLimit) {

  /** Settings that tolerate pauses of the primary of one second without a failover. */
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

  /** Creates settings with the default times for resending, backoff and pauses. */
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
