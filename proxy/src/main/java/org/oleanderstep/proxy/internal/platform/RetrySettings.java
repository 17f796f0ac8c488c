package org.oleanderstep.proxy.internal.platform;

import java.time.Duration;

/**
 * Controls how calls without a response are retried.
 *
 * @param budget time since the first attempt after which no further attempt starts
 * @param firstDelay mean delay before the first retry; it doubles with each retry
 * @param maxDelay upper limit of the mean delay
 */
public record RetrySettings(Duration budget, Duration firstDelay, Duration maxDelay) {

  /** Makes each call once, without retries. */
  public static final RetrySettings NONE =
      new RetrySettings(Duration.ZERO, Duration.ofMillis(50), Duration.ofMillis(50));

  /** For commands that an operator waits for. */
  public static final RetrySettings INTERACTIVE =
      new RetrySettings(Duration.ofSeconds(10), Duration.ofMillis(50), Duration.ofSeconds(1));

  /** Checks that the budget is not negative and the delays are positive. */
  public RetrySettings {
    if (budget.isNegative()) {
      throw new IllegalArgumentException("budget must not be negative: " + budget);
    }
    if (firstDelay.toNanos() < 1 || maxDelay.compareTo(firstDelay) < 0) {
      throw new IllegalArgumentException(
          "firstDelay must be positive and at most maxDelay: " + firstDelay + ", " + maxDelay);
    }
  }

  /** Returns the same delays with another budget. */
  public RetrySettings withBudget(Duration otherBudget) {
    return new RetrySettings(otherBudget, firstDelay, maxDelay);
  }
}
