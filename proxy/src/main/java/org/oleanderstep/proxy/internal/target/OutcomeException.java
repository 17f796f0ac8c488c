package org.oleanderstep.proxy.internal.target;

import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;

/** Carries the outcome of a request that was not served. */
public final class OutcomeException extends RuntimeException {

  private final transient Outcome outcome;

  /** Creates the exception; it has no stack trace, as it is an ordinary result. */
  public OutcomeException(Outcome outcome) {
    super(outcome.getClass().getSimpleName(), null, false, false);
    this.outcome = outcome;
  }

  /** Returns the exception of a request that was refused without being run. */
  public static OutcomeException notRun(NotRunReason reason, String detail) {
    return new OutcomeException(new Outcome.NotRun(reason, detail));
  }

  /** Returns what became of the request. */
  public Outcome outcome() {
    return outcome;
  }
}
