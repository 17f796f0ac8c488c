package org.oleanderstep.proxy.internal.target;

import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;

/** Thrown when a request was not served; carries its outcome. */
public final class OutcomeException extends RuntimeException {

  private final transient Outcome outcome;

  /** Creates the exception without a stack trace, since such outcomes are expected and frequent. */
  public OutcomeException(Outcome outcome) {
    super(outcome.getClass().getSimpleName(), null, false, false);
    this.outcome = outcome;
  }

  /** Returns the exception for a request that was refused before it ran. */
  public static OutcomeException notRun(NotRunReason reason, String detail) {
    return new OutcomeException(new Outcome.NotRun(reason, detail));
  }

  /** Returns the outcome of the request. */
  public Outcome outcome() {
    return outcome;
  }
}
