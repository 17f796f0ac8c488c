package org.oleanderstep.client.internal;

/**
 * Classifies calls by what they may change, which determines whether a call without a response may
 * be retried and which error it gives.
 */
public enum CallKind {
  /**
   * Changes nothing and does not depend on the state of a particular proxy; may be retried at any.
   */
  REPEATABLE,
  /** Changes no data, but depends on the state of one proxy, such as a cursor. */
  READ_ONLY,
  /** May change data and commits it at once (auto-commit). */
  WRITE,
  /** Part of an open transaction, which is lost with the connection to its proxy. */
  IN_TRANSACTION,
  /** Commits a transaction. */
  COMMIT,
  /** Rolls a transaction back. */
  ROLLBACK;

  /** Returns whether the call may have changed data if no response arrives. */
  public boolean mayHaveCommitted() {
    return this == WRITE || this == COMMIT;
  }
}
