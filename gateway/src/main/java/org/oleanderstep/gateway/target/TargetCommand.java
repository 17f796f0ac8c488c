package org.oleanderstep.gateway.target;

import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.session.SessionStatus;
import org.oleanderstep.gateway.session.StatementEffect;

/** A command to a member over a connection. */
public sealed interface TargetCommand {

  /** Returns whether the reply to a success of the command has a proof of the database. */
  default boolean isProven() {
    return false;
  }

  /** Returns whether the reply to a success of the command may have rows. */
  default boolean mayReturnRows() {
    return isProven();
  }

  /** Returns whether it does harm to take the command for refused although it was executed. */
  default boolean refusalMustBeCertain() {
    return isProven();
  }

  /** Returns the transaction status after a success of the command. */
  default SessionStatus statusAfterSuccess(SessionStatus before) {
    return before;
  }

  /**
   * Begins a transaction.
   *
   * @param requiredPosition position that the member's log must include
   */
  record Begin(boolean readOnly, Optional<LogPosition> requiredPosition) implements TargetCommand {

    @Override
    public boolean refusalMustBeCertain() {
      return true;
    }

    @Override
    public SessionStatus statusAfterSuccess(SessionStatus before) {
      return SessionStatus.IN_TRANSACTION;
    }
  }

  /**
   * Executes a caller's read or write with its text unchanged.
   *
   * @param requiredPosition position that the member's log must include
   */
  record Run(String id, String text, Optional<LogPosition> requiredPosition)
      implements TargetCommand {

    @Override
    public boolean isProven() {
      return true;
    }
  }

  /** Commits the transaction on behalf of a caller. */
  record Commit(String id) implements TargetCommand {

    @Override
    public boolean isProven() {
      return true;
    }

    @Override
    public SessionStatus statusAfterSuccess(SessionStatus before) {
      return SessionStatus.IDLE;
    }
  }

  /**
   * Executes a prepared statement.
   *
   * @param name the statement's name on this connection
   * @param arguments the arguments as the caller sent them
   * @param requiredPosition position that the member's log must include
   */
  record Execute(String id, String name, String arguments, Optional<LogPosition> requiredPosition)
      implements TargetCommand {

    @Override
    public boolean isProven() {
      return true;
    }
  }

  /** Rolls back a transaction. */
  record Rollback() implements TargetCommand {

    @Override
    public SessionStatus statusAfterSuccess(SessionStatus before) {
      return SessionStatus.IDLE;
    }
  }

  /** Sets a session variable. */
  record SetVariable(String name, String value) implements TargetCommand {}

  /** Prepares a statement under a name. */
  record Prepare(String name, StatementEffect effect, String template) implements TargetCommand {}

  /** Removes a prepared statement. */
  record Deallocate(String name) implements TargetCommand {}

  /** Clears variables and prepared statements. */
  record Reset() implements TargetCommand {}

  /** Asks for the last commit that the member has received. */
  record ReportReceived() implements TargetCommand {

    @Override
    public boolean mayReturnRows() {
      return true;
    }
  }
}
