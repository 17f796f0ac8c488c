package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.oleanderstep.core.MonotonicClock;
import org.oleanderstep.core.idempotency.RetryBackoff;
import org.oleanderstep.core.idempotency.RetryBudget;
import org.oleanderstep.gateway.session.FailureCode;

/**
 * The retries of one service: how many there may be, and when.
 *
 * <p>Refusals that cost a member no slot, such as that of a replica that is behind, need no credit.
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
public final class ServiceRetries {

  /** Retries for each hundred statements; the load of a full service grows by no more than that. */
  private static final int PERCENT = 20;

  /** Retries in a row after a time without; a member that restarts refuses about as many. */
  private static final int MAX_CREDIT = 10;

  /** A VM that serves little must keep its credit between two statements. */
  private static final Duration CREDIT_EXPIRY = Duration.ofSeconds(60);

  /** About the time in which a member ends a statement. */
  private static final Duration FIRST_DELAY = Duration.ofMillis(10);

  private static final Duration MAX_DELAY = Duration.ofMillis(80);

  private final RetryBudget budget;
  private final RetryBackoff backoff;

  ServiceRetries(MonotonicClock clock, RandomGenerator random) {
    budget = new RetryBudget(PERCENT, MAX_CREDIT, CREDIT_EXPIRY, clock);
    backoff = new RetryBackoff(FIRST_DELAY, MAX_DELAY, random);
  }

  /** Records a new statement, which gives credit. */
  public void onFirstAttempt() {
    budget.onFirstAttempt();
  }

  /**
   * Takes a retry from the budget and returns the monotonic time of its attempt, in nanoseconds;
   * empty if there is no credit.
   *
   * @param attempts the attempts so far
   */
  public OptionalLong tryRetry(FailureCode code, int attempts, long now) {
    return switch (code) {
      case BEHIND -> OptionalLong.of(now);
      case READ_ONLY, UNKNOWN_STATEMENT -> OptionalLong.of(now + backoff.delayNanos(attempts));
      default ->
          budget.tryRetry()
              ? OptionalLong.of(now + backoff.delayNanos(attempts))
              : OptionalLong.empty();
    };
  }
}
