package org.oleanderstep.gateway.session;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.target.PooledConnection;
import org.oleanderstep.gateway.target.PreparedShape;
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
   * Sends the statement over a connection that {@link #synchronize} has prepared.
   *
   * @param requiredPosition position that the member's log must include
   */
  void send(
      PooledConnection connection, Optional<LogPosition> requiredPosition, ReplyHandler handler) {
    boolean mayWrite = writes() || statement.kind() == StatementKind.COMMIT;
    connection.send(command(connection, requiredPosition), mayWrite, handler);
  }

  /**
   * Gives a connection the session variables and the prepared statement that it lacks; the
   * statement must not be sent before that is done.
   *
   * @param onDone receives the failure, or an empty result if the statement can be sent
   */
  void synchronize(PooledConnection connection, Consumer<Optional<Answer.Failure>> onDone) {
    connection.synchronize(variables, shape(), onDone);
  }

  private Optional<PreparedShape> shape() {
    return template.map(text -> new PreparedShape(effect, text));
  }

  private TargetCommand command(
      PooledConnection connection, Optional<LogPosition> requiredPosition) {
    if (statement.kind() == StatementKind.COMMIT) {
      return new TargetCommand.Commit(statement.id());
    }
    if (template.isEmpty()) {
      return new TargetCommand.Run(statement.id(), statement.text(), requiredPosition);
    }
    String name = shape().flatMap(connection::preparedName).orElseThrow();
    return new TargetCommand.Execute(statement.id(), name, statement.argument(), requiredPosition);
  }
}
