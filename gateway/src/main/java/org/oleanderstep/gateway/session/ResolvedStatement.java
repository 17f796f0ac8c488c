package org.oleanderstep.gateway.session;

import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.target.PooledConnection;
import org.oleanderstep.gateway.target.ReplyHandler;
import org.oleanderstep.gateway.target.TargetCommand;

/**
 * A statement together with the session state that it depends on.
 *
 * @param statement the statement as the caller sent it
 * @param effect whether the statement may write
 * @param template the template of the prepared statement that it executes, if any
 * @param variables the session variables
 */
record ResolvedStatement(
    Statement statement,
    StatementEffect effect,
    Optional<String> template,
    Map<String, String> variables) {

  boolean writes() {
    return effect == StatementEffect.WRITE;
  }

  /**
   * Sends the statement; a prepared statement that the connection lacks is prepared first.
   *
   * @param requiredPosition position that the member's log must include
   */
  void send(
      PooledConnection connection, Optional<LogPosition> requiredPosition, ReplyHandler handler) {
    boolean mayWrite = writes() || statement.kind() == StatementKind.COMMIT;
    connection.send(command(connection, requiredPosition), mayWrite, handler);
  }

  /** Applies the session variables and prepares the statement; call before {@link #send}. */
  void prepare(PooledConnection connection) {
    connection.applyVariables(variables);
    template.ifPresent(s -> connection.prepare(effect, s));
  }

  private TargetCommand command(
      PooledConnection connection, Optional<LogPosition> requiredPosition) {
    if (template.isEmpty()) {
      return new TargetCommand.Run(statement.id(), statement.text(), requiredPosition);
    }
    String name = connection.prepare(effect, template.get());
    return new TargetCommand.Execute(statement.id(), name, statement.argument(), requiredPosition);
  }
}
