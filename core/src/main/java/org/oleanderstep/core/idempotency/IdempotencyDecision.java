package org.oleanderstep.core.idempotency;

import java.util.Optional;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;

/** What a proxy does with a request that carries a request id. */
public sealed interface IdempotencyDecision {

  /** The id is new: the request runs in the transaction that inserts the id. */
  record Run() implements IdempotencyDecision {}

  /** The request has already committed: the caller gets the recorded answer. */
  record ReturnRecorded(RecordedRequest recorded) implements IdempotencyDecision {}

  /** The request did not run and must not run: the caller gets this outcome. */
  record Reject(Outcome.NotRun outcome) implements IdempotencyDecision {}

  /**
   * Decides from the row that the transaction found for the id.
   *
   * @param found the row, read on the primary; empty if the insert of the id succeeded
   */
  static IdempotencyDecision of(Optional<RecordedRequest> found, RequestFingerprint fingerprint) {
    return found.map(row -> ofRow(row, fingerprint)).orElseGet(Run::new);
  }

  /**
   * Decides after an attempt to abandon an earlier request whose outcome is unknown.
   *
   * @param found the row with which the insert conflicted; empty if the insert was committed and
   *     acknowledged, in which case the earlier request can never commit
   */
  static IdempotencyDecision afterAbandon(
      Optional<RecordedRequest> found, RequestFingerprint fingerprint) {
    return found.map(row -> ofRow(row, fingerprint)).orElseGet(IdempotencyDecision::abandoned);
  }

  private static IdempotencyDecision ofRow(RecordedRequest row, RequestFingerprint fingerprint) {
    if (row.result() == RecordedRequest.Result.ABANDONED) {
      return abandoned();
    }
    if (!row.fingerprint().equals(fingerprint)) {
      return new Reject(
          new Outcome.NotRun(
              NotRunReason.BAD_REQUEST,
              "the request id was used for another statement; use a new id"));
    }
    return new ReturnRecorded(row);
  }

  private static IdempotencyDecision abandoned() {
    return new Reject(
        new Outcome.NotRun(
            NotRunReason.TRANSACTION_LOST,
            "the request was abandoned and can never commit; repeat it with a new id"));
  }
}
