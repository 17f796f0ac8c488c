package org.oleanderstep.core.idempotency;

import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.core.routing.StatementKind;

/** Decides whether the proxy itself may repeat a request. */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public final class RetryPolicy {

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
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns whether to repeat the request; if so, the retry has been drawn from the budget. */
  public boolean mayRetry(Attempt attempt, Outcome outcome) {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
