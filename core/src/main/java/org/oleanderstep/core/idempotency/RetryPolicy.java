package org.oleanderstep.core.idempotency;

import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.core.routing.StatementKind;

/** Decides whether the proxy may retry a failed request itself. */
public final class RetryPolicy {

  private final RetryBudget budget;

  /**
   * The properties of a failed request that decide whether it may be retried.
   *
   * @param kind kind of the statement
   * @param inTransaction whether it belongs to an open transaction
   * @param hasRequestId whether its id is recorded in the transaction that runs it
   * @param rowsForwarded whether a part of the answer was already sent to the caller
   */
  public record Attempt(
      StatementKind kind, boolean inTransaction, boolean hasRequestId, boolean rowsForwarded) {}

  /** Creates a policy that takes the credit of all retries from the budget. */
  public RetryPolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /** Returns whether to retry the request; if so, has taken the retry from the budget. */
  public boolean mayRetry(Attempt attempt, Outcome outcome) {
    return isSafe(attempt, outcome) && budget.tryRetry();
  }

  private static boolean isSafe(Attempt attempt, Outcome outcome) {
    // Running only the last statement again would not restore a lost transaction.
    if (attempt.inTransaction() || attempt.rowsForwarded()) {
      return false;
    }
    if (outcome instanceof Outcome.NotRun notRun) {
      return isTransient(notRun.reason());
    }
    boolean repeatable = attempt.kind() == StatementKind.READ || attempt.hasRequestId();
    return outcome instanceof Outcome.Unknown && repeatable;
  }

  private static boolean isTransient(NotRunReason reason) {
    return reason == NotRunReason.NO_PRIMARY || reason == NotRunReason.NO_CAPACITY;
  }
}
