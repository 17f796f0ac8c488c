package org.oleanderstep.core.routing;

/** What a statement may do, as far as its keywords tell. */
public enum StatementKind {
  /** Changes nothing; may run on a replica. */
  READ,
  /** Changes rows, and takes effect only with the commit of its transaction. */
  ROW_CHANGE,
  /** Anything else, such as a definition or a call, which may commit on its own. */
  OTHER;

  /** Returns whether the statement must run on the primary. */
  public boolean writes() {
    return this != READ;
  }

  /** Returns whether a rollback of the surrounding transaction surely undoes the statement. */
  public boolean undoneByRollback() {
    return this != OTHER;
  }
}
