package org.oleanderstep.proxy.internal.target;

/**
 * Says that the answer to a read must not be given to the caller, because the member restarted with
 * other data after it was chosen; the read is routed again.
 */
public final class StaleAnswerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception; it has no stack trace, as it is an ordinary result. */
  public StaleAnswerException() {
    super("the member's data was too old", null, false, false);
  }
}
