package org.oleanderstep.core.idempotency;

import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.core.routing.StatementKind;

/** Decides whether the proxy itself may repeat a request. */
public final class RetryPolicy {

  private final RetryBudget budget;

  /**
   * What is known of a failed request.
   *
   * @param kind kind of the statement
   * @param inTransaction whether it belongs to an open transaction
   * @param hasRequestId whether its id is recorded in the transaction that runs it
   * @param rowsForwarded whether the caller has received a part of the answer
   */
  public record Attempt(
      StatementKind kind, boolean inTransaction, boolean hasRequestId, boolean rowsForwarded) {}

  /** Creates a policy that draws all retries from the budget. */
  public RetryPolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /** Returns whether to repeat the request; if so, the retry has been drawn from the budget. */
  public boolean mayRetry(Attempt attempt, Outcome outcome) {
    return isSafe(attempt, outcome) && budget.tryRetry();
  }

  private static boolean isSafe(Attempt attempt, Outcome outcome) {
    // A lost transaction cannot be repeated by its last statement alone.
    if (attempt.inTransaction() || attempt.rowsForwarded()) {
      return false;
    }
    if (outcome instanceof Outcome.NotRun notRun) {
      return isPassing(notRun.reason());
    }
    boolean repeatable = attempt.kind() == StatementKind.READ || attempt.hasRequestId();
    return outcome instanceof Outcome.Unknown && repeatable;
  }

  private static boolean isPassing(NotRunReason reason) {
    return reason == NotRunReason.NO_PRIMARY || reason == NotRunReason.NO_CAPACITY;
  }
}
