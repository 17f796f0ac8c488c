package org.oleanderstep.client.internal;

/** What a call may change, and so what its failure without an answer means. */
public enum CallKind {
  /** Changes nothing and depends on no state of one proxy; may be sent again to any proxy. */
  REPEATABLE,
  /** Changes no data, but depends on state of one proxy, such as a cursor. */
  READ_ONLY,
  /** May change data with its own commit. */
  WRITE,
  /** Belongs to an open transaction, which ends with the proxy that holds it. */
  IN_TRANSACTION,
  /** Commits a transaction. */
  COMMIT,
  /** Rolls a transaction back. */
  ROLLBACK;

  /** Returns whether the data may have changed when the call has no answer. */
  public boolean mayHaveCommitted() {
    return this == WRITE || this == COMMIT;
  }
}
