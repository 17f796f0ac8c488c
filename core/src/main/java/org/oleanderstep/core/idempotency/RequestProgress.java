package org.oleanderstep.core.idempotency;

import org.oleanderstep.core.model.Outcome;

/**
 * Tracks the stage of a request over all of its attempts, so that the outcome "not run" is reported
 * only if it holds for every attempt.
 *
 * <pre>{@code
 * progress.advanceTo(RequestStage.CONNECTED);
 * progress.advanceTo(RequestStage.SENT_WITH_COMMIT); // before the first byte is written
 * Outcome outcome = progress.fail(new RequestFailure.ConnectionLost("reset by target"));
 * }</pre>
 *
 * <p>Not thread-safe; use only from the thread that serves the request.
 */
public final class RequestProgress {

  private RequestStage stage = RequestStage.RECEIVED;
  private boolean earlierAttemptUnknown;

  /**
   * Records that the current attempt has reached a stage.
   *
   * @throws IllegalStateException if the attempt has already reached a later stage
   */
  public void advanceTo(RequestStage next) {
    if (next.compareTo(stage) < 0) {
      throw new IllegalStateException("a request at " + stage + " cannot return to " + next);
    }
    stage = next;
  }

  /** Returns the stage of the current attempt. */
  public RequestStage stage() {
    return stage;
  }

  /** Ends the current attempt and returns the outcome of the request as a whole. */
  public Outcome fail(RequestFailure failure) {
    Outcome outcome = stage.outcome(failure);
    if (earlierAttemptUnknown) {
      // An error or a refusal of this attempt does not show whether the earlier one ran.
      return new Outcome.Unknown("an earlier attempt may have run");
    }
    earlierAttemptUnknown = outcome instanceof Outcome.Unknown;
    return outcome;
  }

  /** Starts another attempt. */
  public void startRetry() {
    stage = RequestStage.RECEIVED;
  }

  /**
   * Records that earlier attempts can never commit, because their request id was abandoned in a
   * committed transaction.
   */
  public void abandonEarlierAttempts() {
    earlierAttemptUnknown = false;
  }
}
