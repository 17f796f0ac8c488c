package org.oleanderstep.gateway.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.gateway.session.SessionStatus;

/**
 * The variables and prepared statements that a connection has at its member, as far as the member
 * has confirmed them.
 *
 * <pre>{@code
 * List<Change> changes = state.changesFor(variables, shape, status);
 * // once the member has confirmed all of them:
 * state.record(changes);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
final class ConnectionState {

  private static final int MAX_PREPARED_STATEMENTS = 200;

  /** A change at the member, and how it is recorded. */
  record Change(TargetCommand command, Runnable onConfirmed) {}

  private final Map<String, String> variables = new HashMap<>();
  private final Map<PreparedShape, String> prepared = new HashMap<>();
  private boolean uncertain;
  private int nextStatementNumber;

  /**
   * Returns the changes that give the connection the variables of a session and a prepared
   * statement, in the order in which they must be made.
   *
   * @param status the transaction status; a reset is possible only outside of a transaction
   */
  List<Change> changesFor(
      Map<String, String> sessionVariables,
      Optional<PreparedShape> statement,
      SessionStatus status) {
    List<Change> changes = new ArrayList<>();
    boolean reset = mustReset(sessionVariables, status);
    if (reset) {
      changes.add(new Change(new TargetCommand.Reset(), this::clear));
    }
    boolean setAll = reset || uncertain;
    sessionVariables.forEach(
        (name, value) -> {
          if (setAll || !value.equals(variables.get(name))) {
            changes.add(set(name, value));
          }
        });
    statement
        .filter(shape -> reset || !prepared.containsKey(shape))
        .ifPresent(shape -> changes.add(prepare(shape)));
    return changes;
  }

  private boolean mustReset(Map<String, String> sessionVariables, SessionStatus status) {
    boolean hasOthers = !sessionVariables.keySet().containsAll(variables.keySet());
    return hasOthers || (uncertain && status == SessionStatus.IDLE);
  }

  private Change set(String name, String value) {
    return new Change(new TargetCommand.SetVariable(name, value), () -> variables.put(name, value));
  }

  private Change prepare(PreparedShape shape) {
    String name = nextStatementName();
    return new Change(
        new TargetCommand.Prepare(name, shape.effect(), shape.template()),
        () -> prepared.put(shape, name));
  }

  private void clear() {
    variables.clear();
    prepared.clear();
  }

  /** Returns a name that no prepared statement of this connection has had. */
  String nextStatementName() {
    return "p" + nextStatementNumber++;
  }

  /** Records changes that the member has confirmed. */
  void record(List<Change> changes) {
    uncertain = false;
    changes.forEach(change -> change.onConfirmed.run());
  }

  /** Records that some of the latest changes may have been made, and others not. */
  void onUncertain() {
    uncertain = true;
  }

  /** Returns the name of a prepared statement; empty if the connection has none. */
  Optional<String> preparedName(PreparedShape shape) {
    return Optional.ofNullable(prepared.get(shape));
  }

  /** Clears the record of prepared statements. */
  void clearPrepared() {
    prepared.clear();
  }

  boolean hasTooManyPreparedStatements() {
    return prepared.size() > MAX_PREPARED_STATEMENTS;
  }
}
