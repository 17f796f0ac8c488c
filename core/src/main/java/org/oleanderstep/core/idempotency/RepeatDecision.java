package org.oleanderstep.core.idempotency;

import java.util.Optional;
import org.oleanderstep.core.model.Outcome;

/** What a proxy does with a request that carries an id. */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public sealed interface RepeatDecision {

  /** The id is new: the request runs in the transaction that inserts the id. */
  record Run() implements RepeatDecision {}

  /** The request ran before; the caller gets the recorded answer. */
  record ReturnRecorded(RecordedRequest recorded) implements RepeatDecision {}

  /** The request did not run and must not run. */
  record Reject(Outcome.NotRun outcome) implements RepeatDecision {}

  /** Decides by the row that the transaction found for the id, or by its absence. */
  static RepeatDecision of(Optional<RecordedRequest> found, RequestFingerprint fingerprint) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /**
   * Decides after an attempt to abandon an earlier request whose outcome is unknown.
   *
   * @param found row that was in the way of the insert; empty if the insert was committed and
   *     acknowledged, in which case the earlier request can never commit
   */
  static RepeatDecision afterAbandon(
      Optional<RecordedRequest> found, RequestFingerprint fingerprint) {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
