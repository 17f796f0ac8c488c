package org.oleanderstep.core.idempotency;

import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;

/**
 * The stages of an attempt at a request, in order. An attempt never returns to an earlier stage.
 *
 * <p>The stage decides which outcome the caller is told when the attempt fails.
 */
public enum RequestStage {
  /** Read from the caller; not admitted yet. */
  RECEIVED,
  /** Admitted and possibly queued; no byte was sent to a target. */
  ADMITTED,
  /** Has a connection to a member; no byte of the request was sent. */
  CONNECTED,
  /**
   * Sent within an open transaction whose commit was not yet sent.
   *
   * <p>Only for statements that a rollback undoes, see {@link
   * org.oleanderstep.core.routing.StatementKind#undoneByRollback()}.
   */
  SENT_IN_TRANSACTION {
    @Override
    Outcome outcomeOfConnectionLoss(String detail) {
      return new Outcome.NotRun(NotRunReason.TRANSACTION_LOST, detail);
    }

    @Override
    Outcome outcomeOfError(RequestFailure.DatabaseError error) {
      return failed(error);
    }
  },
  /** At least one byte of a commit, or of a statement that commits by itself, was sent. */
  SENT_WITH_COMMIT {
    @Override
    Outcome outcomeOfProxyAbort(RequestFailure.AbortedByProxy failure) {
      return new Outcome.Unknown(failure.detail());
    }

    @Override
    Outcome outcomeOfConnectionLoss(String detail) {
      return new Outcome.Unknown(detail);
    }

    @Override
    Outcome outcomeOfError(RequestFailure.DatabaseError error) {
      return failed(error);
    }
  },
  /** The complete answer was received; it may not have reached the caller. */
  ANSWERED {
    @Override
    Outcome outcomeOfProxyAbort(RequestFailure.AbortedByProxy failure) {
      return new Outcome.Unknown(failure.detail());
    }

    @Override
    Outcome outcomeOfConnectionLoss(String detail) {
      return new Outcome.Unknown(detail);
    }

    @Override
    Outcome outcomeOfRefusal(RequestFailure.RefusedByTarget failure) {
      return new Outcome.Unknown(failure.detail());
    }

    @Override
    Outcome outcomeOfError(RequestFailure.DatabaseError error) {
      return new Outcome.Unknown(error.message());
    }
  };

  /** Returns the outcome that the caller is told when the request fails in this stage. */
  public Outcome outcome(RequestFailure failure) {
    if (failure instanceof RequestFailure.AbortedByProxy givenUp) {
      return outcomeOfProxyAbort(givenUp);
    }
    if (failure instanceof RequestFailure.RefusedByTarget refused) {
      return outcomeOfRefusal(refused);
    }
    if (failure instanceof RequestFailure.DatabaseError error) {
      return error.leavesOutcomeUnknown()
          ? outcomeOfConnectionLoss(error.message())
          : outcomeOfError(error);
    }
    if (failure instanceof RequestFailure.NotConnected lost) {
      return outcomeOfConnectionLoss(lost.detail());
    }
    if (failure instanceof RequestFailure.ConnectionLost lost) {
      return outcomeOfConnectionLoss(lost.detail());
    }
    // The target reports that it executed the request, so "not run" would be wrong in every stage.
    return new Outcome.Unknown(((RequestFailure.NotConfirmed) failure).detail());
  }

  Outcome outcomeOfProxyAbort(RequestFailure.AbortedByProxy failure) {
    return new Outcome.NotRun(failure.reason(), failure.detail());
  }

  Outcome outcomeOfRefusal(RequestFailure.RefusedByTarget failure) {
    return new Outcome.NotRun(failure.reason(), failure.detail());
  }

  Outcome outcomeOfConnectionLoss(String detail) {
    return new Outcome.NotRun(NotRunReason.NO_CAPACITY, detail);
  }

  Outcome outcomeOfError(RequestFailure.DatabaseError error) {
    return new Outcome.NotRun(NotRunReason.NO_CAPACITY, error.message());
  }

  private static Outcome failed(RequestFailure.DatabaseError error) {
    return new Outcome.Failed(error.sqlState(), error.vendorCode(), error.message());
  }
}
