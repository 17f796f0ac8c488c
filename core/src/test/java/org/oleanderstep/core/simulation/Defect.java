package org.oleanderstep.core.simulation;

/** A fault built into the model, to see that the checker rejects its runs. */
enum Defect {
  NONE,
  /** A candidate takes one promise for a majority. */
  PROMOTE_WITHOUT_MAJORITY,
  /** A primary acknowledges what only it holds. */
  ACKNOWLEDGE_WITHOUT_REPLICA,
  /** A replica accepts entries of a lower term than it promised. */
  ACCEPT_LOWER_TERM,
  /**
   * A primary acknowledges entries of earlier terms before one of its own is held by a majority.
   */
  NO_ENTRY_AT_START_OF_TERM,
  /** A proxy keeps positions over a change of incarnation and does not check those of answers. */
  ROUTE_BY_STALE_INCARNATION,
  /** The primary that a proxy knows serves callers without a token, unconfirmed. */
  RUN_UNKNOWN_SESSIONS_AT_ONCE,
  /** A proxy tells "not run" after a connection was lost. */
  NOT_RUN_AFTER_SEND,
  /** A member runs a request without recording its id. */
  DROP_REQUEST_ID
}
