package org.oleanderstep.gateway.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.session.SessionStatus;
import org.oleanderstep.gateway.session.StatementEffect;

/**
 * A connection to a member, with the variables and prepared statements of its database session.
 *
 * <p>Serves one statement or one transaction at a time.
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
public final class PooledConnection {

  private static final int MAX_PREPARED_STATEMENTS = 200;

  private record PreparedKey(StatementEffect effect, String shape) {}

  private record PendingCommand(long sentAt, boolean mayWrite, ReplyHandler handler) {}

  private final MemberPool pool;
  private final OrganisationId organisation;
  private final TargetLink link;
  private final Map<String, String> variables = new HashMap<>();
  private final Map<PreparedKey, String> prepared = new HashMap<>();
  private final Deque<PendingCommand> pendingCommands = new ArrayDeque<>();
  private SessionStatus status = SessionStatus.IDLE;
  private boolean open = true;
  private boolean leased;
  private long lastUsedAt;
  private int nextStatementNumber;

  PooledConnection(MemberPool pool, OrganisationId organisation, TargetLink link, long now) {
    this.pool = pool;
    this.organisation = organisation;
    this.link = link;
    lastUsedAt = now;
  }

  /** Returns the pool that this connection belongs to. */
  public MemberPool pool() {
    return pool;
  }

  OrganisationId organisation() {
    return organisation;
  }

  /** Returns whether the connection is open. */
  public boolean isOpen() {
    return open;
  }

  boolean isLeased() {
    return leased;
  }

  long lastUsedAt() {
    return lastUsedAt;
  }

  void lease(long now) {
    leased = true;
    lastUsedAt = now;
  }

  void endLease(long now) {
    leased = false;
    lastUsedAt = now;
  }

  /** Returns whether no transaction is open and no command is pending. */
  boolean isClean() {
    return open && pendingCommands.isEmpty() && status == SessionStatus.IDLE;
  }

  /**
   * Sets the variables of this connection to those of a session. If the connection has other
   * variables, it is reset first, which is possible only outside of a transaction.
   */
  public void applyVariables(Map<String, String> sessionVariables) {
    if (!sessionVariables.keySet().containsAll(variables.keySet())) {
      variables.clear();
      prepared.clear();
      send(new TargetCommand.Reset(), false, ReplyHandler.IGNORE);
    }
    sessionVariables.forEach(this::applyVariable);
  }

  private void applyVariable(String name, String value) {
    if (!value.equals(variables.put(name, value))) {
      send(new TargetCommand.SetVariable(name, value), false, ReplyHandler.IGNORE);
    }
  }

  /** Prepares a statement unless this connection has it, and returns its name here. */
  public String prepare(StatementEffect effect, String shape) {
    PreparedKey key = new PreparedKey(effect, shape);
    String existingName = prepared.get(key);
    if (existingName != null) {
      return existingName;
    }
    String name = "p" + nextStatementNumber++;
    prepared.put(key, name);
    send(new TargetCommand.Prepare(name, effect, shape), false, ReplyHandler.IGNORE);
    return name;
  }

  /** Clears the record of prepared statements, after the member did not recognise a name. */
  public void clearPrepared() {
    prepared.clear();
  }

  boolean hasTooManyPreparedStatements() {
    return prepared.size() > MAX_PREPARED_STATEMENTS;
  }

  /**
   * Sends a command.
   *
   * @param mayWrite whether the effect of the command is unknown if no reply arrives
   */
  public void send(TargetCommand command, boolean mayWrite, ReplyHandler handler) {
    if (!open) {
      handler.lost("the connection is closed");
      return;
    }
    pendingCommands.addLast(new PendingCommand(pool.now(), mayWrite, handler));
    link.send(command, this::onReply);
  }

  /** Flushes the sent commands to the network. */
  public void flush() {
    if (open) {
      link.flush();
    }
  }

  private void onReply(TargetReply reply) {
    PendingCommand first = pendingCommands.pollFirst();
    if (first == null) {
      close("received a reply without a pending command");
      return;
    }
    status = reply.status();
    pool.onReply(reply, first.sentAt);
    first.handler.replied(reply);
  }

  boolean hasPendingCommand() {
    return !pendingCommands.isEmpty();
  }

  /** Returns whether a command has been pending for longer than the limit. */
  boolean hasUnansweredCommand(long now, long limitNanos) {
    PendingCommand first = pendingCommands.peekFirst();
    return first != null && now - first.sentAt > limitNanos;
  }

  /** Returns whether a command that may write is pending. */
  boolean hasPendingWrite() {
    return pendingCommands.stream().anyMatch(PendingCommand::mayWrite);
  }

  /** Closes the connection and reports every pending command as lost. */
  public void close(String reason) {
    if (!open) {
      return;
    }
    link.close();
    onLost(reason);
  }

  void onLost(String reason) {
    if (!open) {
      return;
    }
    open = false;
    pool.onConnectionEnded(this);
    List<PendingCommand> left = new ArrayList<>(pendingCommands);
    pendingCommands.clear();
    left.forEach(command -> command.handler.lost(reason));
  }
}
