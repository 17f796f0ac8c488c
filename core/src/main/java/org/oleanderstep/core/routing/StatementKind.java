package org.oleanderstep.core.routing;

/** Effect that a statement may have, judged by its keywords. */
public enum StatementKind {
  /** Changes nothing; may run on a replica. */
  READ,
  /** Changes rows, which takes effect only when its transaction commits. */
  ROW_CHANGE,
  /** Any other statement, such as DDL or a procedure call, which may commit by itself. */
  OTHER;

  /** Returns whether the statement must run on the primary. */
  public boolean writes() {
    return this != READ;
  }

  /** Returns whether a rollback of its transaction is certain to undo the statement. */
  public boolean undoneByRollback() {
    return this != OTHER;
  }
}
