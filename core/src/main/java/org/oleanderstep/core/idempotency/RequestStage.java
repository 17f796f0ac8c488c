package org.oleanderstep.core.idempotency;

import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;

/** How far a request has come; a request never returns to an earlier stage within one attempt. */
public enum RequestStage {
  /** Read from the caller; not admitted yet. */
  RECEIVED,
  /** Admitted and possibly queued; no byte was sent to a target. */
  ADMITTED,
  /** Has a connection to a member; no byte of the request was sent. */
  CONNECTED,
  /**
   * Sent within an open transaction whose commit was not sent.
   *
   * <p>Holds only for statements that a rollback undoes, see {@link
   * org.oleanderstep.core.routing.StatementKind#undoneByRollback()}.
   */
  SENT_IN_TRANSACTION {
    @Override
    Outcome outcomeOfLoss(String detail) {
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
    Outcome outcomeOfGivingUp(RequestFailure.GivenUp failure) {
      return new Outcome.Unknown(failure.detail());
    }

    @Override
    Outcome outcomeOfLoss(String detail) {
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
    Outcome outcomeOfGivingUp(RequestFailure.GivenUp failure) {
      return new Outcome.Unknown(failure.detail());
    }

    @Override
    Outcome outcomeOfLoss(String detail) {
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

  /** Returns what the caller is told when the request fails in this stage. */
  public Outcome outcome(RequestFailure failure) {
    if (failure instanceof RequestFailure.GivenUp givenUp) {
      return outcomeOfGivingUp(givenUp);
    }
    if (failure instanceof RequestFailure.RefusedByTarget refused) {
      return outcomeOfRefusal(refused);
    }
    if (failure instanceof RequestFailure.DatabaseError error) {
      return error.leavesOutcomeOpen() ? outcomeOfLoss(error.message()) : outcomeOfError(error);
    }
    if (failure instanceof RequestFailure.NotConnected lost) {
      return outcomeOfLoss(lost.detail());
    }
    if (failure instanceof RequestFailure.ConnectionLost lost) {
      return outcomeOfLoss(lost.detail());
    }
    // The target says that it executed the request, so no stage allows "not run".
    return new Outcome.Unknown(((RequestFailure.NotConfirmed) failure).detail());
  }

  Outcome outcomeOfGivingUp(RequestFailure.GivenUp failure) {
    return new Outcome.NotRun(failure.reason(), failure.detail());
  }

  Outcome outcomeOfRefusal(RequestFailure.RefusedByTarget failure) {
    return new Outcome.NotRun(failure.reason(), failure.detail());
  }

  Outcome outcomeOfLoss(String detail) {
    return new Outcome.NotRun(NotRunReason.NO_CAPACITY, detail);
  }

  Outcome outcomeOfError(RequestFailure.DatabaseError error) {
    return new Outcome.NotRun(NotRunReason.NO_CAPACITY, error.message());
  }

  private static Outcome failed(RequestFailure.DatabaseError error) {
    return new Outcome.Failed(error.sqlState(), error.vendorCode(), error.message());
  }
}
