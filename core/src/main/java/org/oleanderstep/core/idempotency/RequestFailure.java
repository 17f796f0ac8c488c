package org.oleanderstep.core.idempotency;

import org.oleanderstep.core.model.NotRunReason;

/** Why a request ended without a complete answer. */
public sealed interface RequestFailure {

  /** The proxy ended the request itself: at its deadline, for lack of capacity or at shutdown. */
  record AbortedByProxy(NotRunReason reason, String detail) implements RequestFailure {}

  /** No connection to the member could be opened. */
  record NotConnected(String detail) implements RequestFailure {}

  /** The connection was lost, or the answer did not arrive in time. */
  record ConnectionLost(String detail) implements RequestFailure {}

  /** The member confirmed that it did not start the request and never will. */
  record RefusedByTarget(NotRunReason reason, String detail) implements RequestFailure {}

  /**
   * The database answered with an error and has rolled the request back.
   *
   * @param sqlState empty if the driver gave none
   */
  record DatabaseError(String sqlState, int vendorCode, String message) implements RequestFailure {

    /**
     * Returns whether the SQLSTATE is missing or reports a lost connection or an unknown result.
     */
    public boolean leavesOutcomeUnknown() {
      return sqlState.startsWith("08") || sqlState.equals("40003") || sqlState.isEmpty();
    }
  }

  /** The target executed the request but cannot confirm that its result is durable. */
  record NotConfirmed(String detail) implements RequestFailure {}
}
