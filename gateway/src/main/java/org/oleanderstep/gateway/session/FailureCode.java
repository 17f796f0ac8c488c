package org.oleanderstep.gateway.session;

/** Why a statement did not succeed, and whether it can have had an effect. */
public enum FailureCode {
  /** No capacity, or the organisation exceeds its rate. */
  OVERLOADED(true),
  /** The transaction was rolled back. */
  ABORTED(true),
  /** The member's log does not include the required position. */
  BEHIND(true),
  /** The member is not the primary. */
  READ_ONLY(true),
  /** Another member is listening at this address. */
  WRONG_TARGET(true),
  /** The member accepts no further connections. */
  TOO_MANY_CONNECTIONS(true),
  /** No prepared statement has this name. */
  UNKNOWN_STATEMENT(true),
  /** The key is unknown or withdrawn. */
  ACCESS_DENIED(true),
  /** No route has this name. */
  UNKNOWN_DATABASE(true),
  /** The statement could not be parsed, or is not allowed in the current state. */
  MALFORMED(true),
  /** The message exceeds the size limit. */
  TOO_LARGE(true),
  /** The statement was executed and failed. */
  FAILED(false),
  /** No answer arrived in time; the statement may have been executed. */
  TIMEOUT(false),
  /** The connection was lost after the statement was sent; it may have been executed. */
  UNKNOWN_OUTCOME(false);

  private final boolean notRun;

  FailureCode(boolean notRun) {
    this.notRun = notRun;
  }

  /** Returns whether the statement is certain to have had no effect. */
  public boolean notRun() {
    return notRun;
  }
}
