package org.oleanderstep.core.failover;

import java.time.Duration;

/**
 * Times of failure detection.
 *
 * @param suspectAfter silence of a primary after which a proxy becomes a candidate
 * @param rankDelay extra delay for each rank, so that candidates rarely compete
 * @param attemptTimeout time after which a candidate gives up a term and tries a higher one
 */
public record FailoverSettings(Duration suspectAfter, Duration rankDelay, Duration attemptTimeout) {

  /** Settings that survive pauses of the primary of one second. */
  public static final FailoverSettings DEFAULT =
      new FailoverSettings(
          Duration.ofMillis(1_500), Duration.ofMillis(150), Duration.ofMillis(500));

  /** Checks that all times are positive. */
  public FailoverSettings {
    if (suspectAfter.isNegative() || suspectAfter.isZero()) {
      throw new IllegalArgumentException("suspectAfter must be positive: " + suspectAfter);
    }
    if (rankDelay.isNegative()) {
      throw new IllegalArgumentException("rankDelay must not be negative: " + rankDelay);
    }
    if (attemptTimeout.isNegative() || attemptTimeout.isZero()) {
      throw new IllegalArgumentException("attemptTimeout must be positive: " + attemptTimeout);
    }
  }
}
