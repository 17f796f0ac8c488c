package org.oleanderstep.gateway.target;

import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.session.StatementEffect;

/** A command to a member over a connection. */
public sealed interface TargetCommand {

  /**
   * Begins a transaction.
   *
   * @param requiredPosition position that the member's log must include
   */
  record Begin(boolean readOnly, Optional<LogPosition> requiredPosition) implements TargetCommand {}

  /**
   * Executes a caller's read, write or commit with its text unchanged.
   *
   * @param requiredPosition position that the member's log must include
   */
  record Run(String id, String text, Optional<LogPosition> requiredPosition)
      implements TargetCommand {}

  /**
   * Executes a prepared statement.
   *
   * @param name the statement's name on this connection
   * @param arguments the arguments as the caller sent them
   * @param requiredPosition position that the member's log must include
   */
  record Execute(String id, String name, String arguments, Optional<LogPosition> requiredPosition)
      implements TargetCommand {}

  /** Rolls back a transaction. */
  record Rollback() implements TargetCommand {}

  /** Sets a session variable. */
  record SetVariable(String name, String value) implements TargetCommand {}

  /** Prepares a statement under a name. */
  record Prepare(String name, StatementEffect effect, String template) implements TargetCommand {}

  /** Clears variables and prepared statements. */
  record Reset() implements TargetCommand {}

  /**
   * Asks for the last commit that the member has received. The position of the reply is that
   * commit's, or the last one that the member has applied if it does not tell the former.
   */
  record ReportReceived() implements TargetCommand {}
}
