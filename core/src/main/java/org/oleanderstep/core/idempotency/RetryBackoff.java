package org.oleanderstep.core.idempotency;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Delays that grow with each retry, with random jitter, so that requests that were refused together
 * do not come back together.
 */
public final class RetryBackoff {

  private static final int MAX_DOUBLINGS = 20;

  private final long firstNanos;
  private final long maxNanos;
  private final RandomGenerator random;

  /**
   * Creates delays.
   *
   * @param first mean delay of the first retry; each further one is twice as long
   * @param max the longest mean delay
   */
  public RetryBackoff(Duration first, Duration max, RandomGenerator random) {
    if (first.isNegative() || first.isZero() || max.compareTo(first) < 0) {
      throw new IllegalArgumentException(
          "delays must be positive, and the first at most the longest: " + first + ", " + max);
    }
    firstNanos = first.toNanos();
    maxNanos = max.toNanos();
    this.random = random;
  }

  /**
   * Returns a delay in nanoseconds, from half to one and a half times the mean.
   *
   * @param retry the number of the retry, from one
   */
  public long delayNanos(int retry) {
    int doublings = Math.max(0, Math.min(MAX_DOUBLINGS, retry - 1));
    long mean = Math.min(maxNanos, firstNanos << doublings);
    return mean / 2 + random.nextLong(mean + 1);
  }
}
