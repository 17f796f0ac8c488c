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
public final class RequestProgress {

  private RequestStage stage = RequestStage.RECEIVED;
  private boolean earlierAttemptOpen;

  /** Takes note that the present attempt has reached a stage. */
  public void reach(RequestStage next) {
    if (next.compareTo(stage) < 0) {
      throw new IllegalStateException("a request at " + stage + " cannot return to " + next);
    }
    stage = next;
  }

  /** Returns the stage of the present attempt. */
  public RequestStage stage() {
    return stage;
  }

  /** Ends the present attempt and returns what may be told of the request as a whole. */
  public Outcome fail(RequestFailure failure) {
    Outcome outcome = stage.outcome(failure);
    if (earlierAttemptOpen) {
      // An error or a refusal of this attempt says nothing about the earlier one.
      return new Outcome.Unknown("an earlier attempt may have run");
    }
    earlierAttemptOpen = outcome instanceof Outcome.Unknown;
    return outcome;
  }

  /** Starts another attempt. */
  public void startRetry() {
    stage = RequestStage.RECEIVED;
  }

  /**
   * Takes note that earlier attempts can never commit, because their request id was abandoned in a
   * committed transaction.
   */
  public void abandonEarlierAttempts() {
    earlierAttemptOpen = false;
  }
}
