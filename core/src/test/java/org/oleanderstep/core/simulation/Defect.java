package org.oleanderstep.core.simulation;

/** A defect that can be built into the model, to test that the checker rejects its runs. */
enum Defect {
  NONE,
  /** A candidate takes the promise of a single member for a majority. */
  PROMOTE_WITHOUT_MAJORITY,
  /** A primary acknowledges an entry that no replica has stored. */
  ACKNOWLEDGE_WITHOUT_REPLICA,
  /** A replica accepts entries of a lower term than the one it promised. */
  ACCEPT_LOWER_TERM,
  /**
   * A primary acknowledges entries of earlier terms before a majority has stored one of its own.
   */
  NO_ENTRY_AT_START_OF_TERM,
  /**
   * A proxy keeps the known position of a member after its incarnation changed, and does not check
   * the position in the response to a read.
   */
  ROUTE_BY_STALE_INCARNATION,
  /**
   * A proxy sends reads of callers without a token to the primary that it knows, without confirming
   * that it is still the primary.
   */
  RUN_UNKNOWN_SESSIONS_AT_ONCE,
  /** A proxy reports "not run" although the connection was lost after the request was sent. */
  NOT_RUN_AFTER_SEND,
  /** A member runs a request without recording its id. */
  DROP_REQUEST_ID
}
