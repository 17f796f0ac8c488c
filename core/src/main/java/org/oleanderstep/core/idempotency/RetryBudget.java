package org.oleanderstep.core.idempotency;

import java.time.Duration;
import org.oleanderstep.core.MonotonicClock;

/**
 * Limits retries to a share of first attempts, so that retries cannot multiply an overload.
 *
 * <p>Not safe for use by several threads at once.
 */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public final class RetryBudget {

  /**
   * Creates a budget without credit.
   *
   * @param percent retries per hundred first attempts
   * @param maxRetries most retries that credit is kept for
   * @param keepFor time without any first attempt after which all credit ends
   */
  public RetryBudget(int percent, int maxRetries, Duration keepFor, MonotonicClock clock) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Adds the credit of a first attempt. */
  public void onFirstAttempt() {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Takes the credit of one retry and returns whether there was enough. */
  public boolean tryRetry() {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
