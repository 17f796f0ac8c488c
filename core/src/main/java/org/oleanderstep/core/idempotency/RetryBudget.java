package org.oleanderstep.core.idempotency;

import java.time.Duration;
import org.oleanderstep.core.MonotonicClock;

/**
 * Limits retries to a percentage of first attempts, so that retries cannot amplify an overload.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(10, 20, Duration.ofSeconds(10), System::nanoTime);
 * budget.onFirstAttempt();
 * boolean allowed = budget.tryRetry();
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {

  private static final int RETRY_COST = 100;

  private final int percent;
  private final long maxCredit;
  private final long creditExpiryNanos;
  private final MonotonicClock clock;
  // In hundredths of a retry; with integers, rounding never grants more than the percentage.
  private long credit;
  private long lastFirstAttemptNanos;

  /**
   * Creates a budget without credit.
   *
   * @param percent retries per hundred first attempts
   * @param maxRetries maximum number of retries that credit can accumulate for
   * @param creditExpiry time without a first attempt after which all credit expires
   */
  public RetryBudget(int percent, int maxRetries, Duration creditExpiry, MonotonicClock clock) {
    if (percent < 0 || percent > 100) {
      throw new IllegalArgumentException("percent must be from 0 to 100: " + percent);
    }
    if (maxRetries < 1) {
      throw new IllegalArgumentException("maxRetries must be positive: " + maxRetries);
    }
    this.percent = percent;
    this.maxCredit = (long) maxRetries * RETRY_COST;
    this.creditExpiryNanos = creditExpiry.toNanos();
    this.clock = clock;
    this.lastFirstAttemptNanos = clock.nanoTime();
  }

  /** Adds the credit of a first attempt. */
  public void onFirstAttempt() {
    expireCredit();
    lastFirstAttemptNanos = clock.nanoTime();
    credit = Math.min(maxCredit, credit + percent);
  }

  /** Takes the credit of one retry if there is enough, and returns whether it did. */
  public boolean tryRetry() {
    expireCredit();
    if (credit < RETRY_COST) {
      return false;
    }
    credit -= RETRY_COST;
    return true;
  }

  private void expireCredit() {
    if (clock.nanoTime() - lastFirstAttemptNanos > creditExpiryNanos) {
      credit = 0;
    }
  }
}
