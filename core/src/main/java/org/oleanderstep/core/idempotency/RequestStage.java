package org.oleanderstep.core.idempotency;

import org.oleanderstep.core.model.Outcome;

/** How far a request has come; a request never returns to an earlier stage within one attempt. */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public enum RequestStage {
  /** Read from the caller; not admitted yet. */
  RECEIVED,
  /** Admitted and possibly queued; no byte was sent to a target. */
  ADMITTED,
  /** Has a connection to a member; no byte of the request was sent. */
  CONNECTED,
  /** Sent within an open transaction whose commit was not sent. */
  SENT_IN_TRANSACTION,
  /** At least one byte of a commit, or of a statement that commits by itself, was sent. */
  SENT_WITH_COMMIT,
  /** The complete answer was received. */
  ANSWERED;

  /** Returns what the caller is told when the request fails in this stage. */
  public Outcome outcome(RequestFailure failure) {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
