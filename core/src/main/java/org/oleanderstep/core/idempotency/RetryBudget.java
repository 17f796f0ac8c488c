package org.oleanderstep.core.idempotency;

import java.time.Duration;
import org.oleanderstep.core.MonotonicClock;

/**
 * Limits retries to a share of first attempts, so that retries cannot multiply an overload.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(10, 20, Duration.ofSeconds(10), System::nanoTime);
 * budget.onFirstAttempt();
 * boolean allowed = budget.tryRetry();
 * }</pre>
 *
 * <p>Not safe for use by several threads at once.
 */
public final class RetryBudget {

  private static final int COST_OF_RETRY = 100;

  private final int percent;
  private final long maxCredit;
  private final long keepForNanos;
  private final MonotonicClock clock;
  // In hundredths of a retry, so that no rounding ever grants more than the share.
  private long credit;
  private long lastFirstAttemptNanos;

  /**
   * Creates a budget without credit.
   *
   * @param percent retries per hundred first attempts
   * @param maxRetries most retries that credit is kept for
   * @param keepFor time without any first attempt after which all credit ends
   */
  public RetryBudget(int percent, int maxRetries, Duration keepFor, MonotonicClock clock) {
    if (percent < 0 || percent > 100) {
      throw new IllegalArgumentException("percent must be from 0 to 100: " + percent);
    }
    if (maxRetries < 1) {
      throw new IllegalArgumentException("maxRetries must be positive: " + maxRetries);
    }
    this.percent = percent;
    this.maxCredit = (long) maxRetries * COST_OF_RETRY;
    this.keepForNanos = keepFor.toNanos();
    this.clock = clock;
    this.lastFirstAttemptNanos = clock.nanoTime();
  }

  /** Adds the credit of a first attempt. */
  public void onFirstAttempt() {
    dropOldCredit();
    lastFirstAttemptNanos = clock.nanoTime();
    credit = Math.min(maxCredit, credit + percent);
  }

  /** Takes the credit of one retry and returns whether there was enough. */
  public boolean tryRetry() {
    dropOldCredit();
    if (credit < COST_OF_RETRY) {
      return false;
    }
    credit -= COST_OF_RETRY;
    return true;
  }

  private void dropOldCredit() {
    if (clock.nanoTime() - lastFirstAttemptNanos > keepForNanos) {
      credit = 0;
    }
  }
}
