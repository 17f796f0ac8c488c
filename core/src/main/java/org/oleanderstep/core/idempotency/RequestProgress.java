package org.oleanderstep.core.idempotency;

import org.oleanderstep.core.model.Outcome;

/**
 * Remembers over all attempts of a request how far it has come, so that an outcome of "not run"
 * covers every attempt.
 *
 * <pre>{@code
 * progress.reach(RequestStage.CONNECTED);
 * progress.reach(RequestStage.SENT_WITH_COMMIT); // before the first byte is written
 * Outcome outcome = progress.fail(new RequestFailure.ConnectionLost("reset by target"));
 * }</pre>
 *
 * <p>Confined to the thread that serves the request.
 */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public final class RequestProgress {

  /** Creates the progress of a request that was just received. */
  public RequestProgress() {}

  /** Takes note that the present attempt has reached a stage. */
  public void reach(RequestStage stage) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the stage of the present attempt. */
  public RequestStage stage() {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Ends the present attempt and returns what may be told of the request as a whole. */
  public Outcome fail(RequestFailure failure) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Starts another attempt. */
  public void startRetry() {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
