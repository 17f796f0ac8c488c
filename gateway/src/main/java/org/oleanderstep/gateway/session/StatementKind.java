package org.oleanderstep.gateway.session;

/** The kind of a caller's statement. */
public enum StatementKind {
  /** Begins a transaction that may write. */
  BEGIN,
  /** Begins a read-only transaction. */
  BEGIN_READ,
  /** Commits the transaction. */
  COMMIT,
  /** Rolls back the transaction. */
  ROLLBACK,
  /** Reads an item. */
  READ,
  /** Writes an item. */
  WRITE,
  /** Sets a session variable. */
  SET,
  /** Defines a prepared statement. */
  PREPARE,
  /** Executes a prepared statement. */
  EXECUTE,
  /** Removes a prepared statement. */
  DEALLOCATE,
  /** Could not be parsed. */
  INVALID
}
