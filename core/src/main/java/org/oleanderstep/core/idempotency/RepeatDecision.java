package org.oleanderstep.core.idempotency;

import java.util.Optional;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;

/** What a proxy does with a request that carries an id. */
public sealed interface RepeatDecision {

  /** The id is new: the request runs in the transaction that inserts the id. */
  record Run() implements RepeatDecision {}

  /** The request ran before; the caller gets the recorded answer. */
  record ReturnRecorded(RecordedRequest recorded) implements RepeatDecision {}

  /** The request did not run and must not run. */
  record Reject(Outcome.NotRun outcome) implements RepeatDecision {}

  /**
   * Decides by the row that the transaction found for the id, or by its absence.
   *
   * @param found the row, read on the primary, or empty if the insert of the id succeeded
   */
  static RepeatDecision of(Optional<RecordedRequest> found, RequestFingerprint fingerprint) {
    return found.map(row -> ofRow(row, fingerprint)).orElseGet(Run::new);
  }

  /**
   * Decides after an attempt to abandon an earlier request whose outcome is unknown.
   *
   * @param found row that was in the way of the insert; empty if the insert was committed and
   *     acknowledged, in which case the earlier request can never commit
   */
  static RepeatDecision afterAbandon(
      Optional<RecordedRequest> found, RequestFingerprint fingerprint) {
    return found.map(row -> ofRow(row, fingerprint)).orElseGet(RepeatDecision::abandoned);
  }

  private static RepeatDecision ofRow(RecordedRequest row, RequestFingerprint fingerprint) {
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

  private static RepeatDecision abandoned() {
    return new Reject(
        new Outcome.NotRun(
            NotRunReason.TRANSACTION_LOST,
            "the request was abandoned and can never commit; repeat it with a new id"));
  }
}
