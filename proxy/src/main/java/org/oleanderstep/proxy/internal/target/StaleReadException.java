package org.oleanderstep.proxy.internal.target;

/**
 * Thrown when the response to a read must not reach the caller, because the member restarted with
 * other data after it was chosen. The read is routed again.
 */
public final class StaleReadException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception without a stack trace, since the read is simply retried. */
  public StaleReadException() {
    super("the member responded from data older than the read requires", null, false, false);
  }
}
