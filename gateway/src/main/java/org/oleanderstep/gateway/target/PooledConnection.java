package org.oleanderstep.gateway.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.session.Answer;
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

  /** The template of a prepared statement that is never executed. */
  private static final String UNUSED_TEMPLATE = "-";

  private final MemberPool pool;
  private final OrganisationId organisation;
  private final TargetLink link;
  private final ConnectionState state = new ConnectionState();
  private final ReplyMatcher matcher = new ReplyMatcher();
  private boolean open = true;
  private boolean leased;
  private int statementsOfLease;
  private WorkClass work = WorkClass.PROXY;
  private boolean used;
  private long lastUsedAt;

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

  /** Returns whether commands may be sent; not so once the member is evacuated. */
  public boolean acceptsCommands() {
    return open && pool.access().allowsSending();
  }

  boolean isLeased() {
    return leased;
  }

  /** Returns whether the connection has ever been leased. */
  boolean isUsed() {
    return used;
  }

  long lastUsedAt() {
    return lastUsedAt;
  }

  void lease(WorkClass workClass, long now) {
    leased = true;
    work = workClass;
    used = true;
    lastUsedAt = now;
    statementsOfLease = 0;
  }

  void endLease(long now) {
    leased = false;
    lastUsedAt = now;
  }

  /** Returns the transaction status after the last reply. */
  public SessionStatus status() {
    return matcher.status();
  }

  /** Returns whether no transaction is open and no command is pending. */
  boolean isClean() {
    return open && !matcher.hasPending() && matcher.status() == SessionStatus.IDLE;
  }

  /**
   * Gives this connection the variables of a session and a prepared statement, as far as it lacks
   * them. If it has other variables, it is reset first, which is possible only outside of a
   * transaction.
   *
   * <p>The changes count only once the member has confirmed all of them; until then, a statement
   * could run with the variables of another session. If the outcome of a change is unknown, the
   * connection is closed.
   *
   * @param onDone receives the first failure, or an empty result once the connection has
   *     everything; called at once if nothing is missing
   */
  public void synchronize(
      Map<String, String> sessionVariables,
      Optional<PreparedShape> statement,
      Consumer<Optional<Answer.Failure>> onDone) {
    List<ConnectionState.Change> changes =
        state.changesFor(sessionVariables, statement, matcher.status());
    if (changes.isEmpty()) {
      onDone.accept(Optional.empty());
      return;
    }
    List<TargetCommand> commands = new ArrayList<>();
    changes.forEach(change -> commands.add(change.command()));
    // A repeated reply can't be told from that to a change. It shifts the reply to the last change
    // to the first of these commands, so that a refusal shows.
    commands.addAll(confirmation(matcher.status()));
    Synchronization running =
        new Synchronization(
            commands.size(), failure -> onSynchronized(changes, failure, onDone), this::close);
    commands.forEach(command -> send(command, false, running));
  }

  private void onSynchronized(
      List<ConnectionState.Change> changes,
      Optional<Answer.Failure> failure,
      Consumer<Optional<Answer.Failure>> onDone) {
    if (failure.isPresent()) {
      state.onUncertain();
      closeUnlessInTransaction("the member refused a change of the session");
    } else {
      state.record(changes);
    }
    onDone.accept(failure);
  }

  /** After a refusal, replies that are still due may be out of step. */
  private void closeUnlessInTransaction(String reason) {
    if (matcher.status() != SessionStatus.IN_TRANSACTION) {
      close(reason);
    }
  }

  /**
   * Returns commands that have no effect together, and whose replies differ from those to the
   * commands before them, so that they show whether replies and commands are in step.
   */
  private List<TargetCommand> confirmation(SessionStatus current) {
    return switch (current) {
      case IDLE ->
          List.of(new TargetCommand.Begin(true, Optional.empty()), new TargetCommand.Rollback());
      case IN_TRANSACTION -> {
        String name = state.nextStatementName();
        yield List.of(
            new TargetCommand.Prepare(name, StatementEffect.READ, UNUSED_TEMPLATE),
            new TargetCommand.Deallocate(name));
      }
      case FAILED_TRANSACTION -> List.of(new TargetCommand.Rollback());
    };
  }

  /** Returns the name of a prepared statement on this connection; empty if it has none. */
  public Optional<String> preparedName(PreparedShape shape) {
    return state.preparedName(shape);
  }

  /** Clears the record of prepared statements, after the member did not recognise a name. */
  public void clearPrepared() {
    state.clearPrepared();
  }

  boolean hasTooManyPreparedStatements() {
    return state.hasTooManyPreparedStatements();
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
    if (!acceptsCommands()) {
      closeIfEvacuated();
      handler.lost(MemberPool.EVACUATED);
      return;
    }
    if (command.isProven() && ++statementsOfLease > 1) {
      // The first statement was counted with the lease.
      pool.countRequest();
    }
    matcher.add(command, pool.now(), mayWrite, handler);
    pool.onSent(command);
    link.send(command);
  }

  /** Begins a transaction; the reply is certain to be that to this command. */
  public void begin(TargetCommand.Begin command, ReplyHandler handler) {
    sendConfirmed(command, SessionStatus.IN_TRANSACTION, handler);
  }

  /** Asks the member for its position; the reply is certain to be that to this command. */
  void askPosition(ReplyHandler handler) {
    sendConfirmed(new TargetCommand.ReportReceived(), SessionStatus.IDLE, handler);
  }

  private void sendConfirmed(
      TargetCommand command, SessionStatus statusAfter, ReplyHandler handler) {
    List<TargetCommand> confirmation = confirmation(statusAfter);
    ConfirmedReply confirmed = new ConfirmedReply(handler, confirmation.size(), this::close);
    send(command, false, confirmed.first());
    confirmation.forEach(each -> send(each, false, confirmed.confirmation()));
  }

  /** Flushes the sent commands to the network. */
  public void flush() {
    if (open) {
      link.flush();
    }
  }

  void onReply(TargetReply reply) {
    if (!open) {
      return;
    }
    switch (matcher.match(reply)) {
      case REPLY -> deliver(reply);
      case UNCERTAIN_REFUSAL -> acceptRefusal(reply);
      case REPEATED -> {
        matcher.drop(reply);
        pool.onRepeatedReply(reply, pendingCommandNames());
      }
      case CONTRADICTORY -> {
        pool.onContradictoryReply(reply, matcher.status(), pendingCommandNames());
        close("the member sent a reply that belongs to no command");
      }
    }
  }

  private void deliver(TargetReply reply) {
    ReplyMatcher.PendingCommand command = accept(reply);
    if (!reply.succeeded() && command.command() instanceof TargetCommand.Rollback) {
      close("the member refused to roll back");
    }
    command.handler().replied(reply);
  }

  private ReplyMatcher.PendingCommand accept(TargetReply reply) {
    ReplyMatcher.PendingCommand command = matcher.accept(reply);
    pool.onReply(reply, command.sentAt());
    pool.onMeasured(reply, kind(command), command);
    return command;
  }

  /**
   * Accepts a refusal that may be that to another command; the command may have run then. The
   * replies to the commands behind it show which it is; if there are none, some are sent.
   */
  private void acceptRefusal(TargetReply reply) {
    boolean isLast = matcher.pending().size() == 1;
    if (!isLast || !matcher.oldest().orElseThrow().command().refusalMustBeCertain()) {
      deliver(reply);
      return;
    }
    ReplyMatcher.PendingCommand command = accept(reply);
    List<TargetCommand> confirmation = confirmation(reply.status());
    ConfirmedReply confirmed =
        new ConfirmedReply(command.handler(), confirmation.size(), this::close);
    confirmed.hold(reply);
    confirmation.forEach(each -> send(each, command.mayWrite(), confirmed.confirmation()));
    flush();
  }

  /** Returns the kinds of the commands without a reply, in the order in which they were sent. */
  List<String> pendingCommandNames() {
    return matcher.pending().stream().map(c -> c.command().getClass().getSimpleName()).toList();
  }

  boolean hasPendingCommand() {
    return matcher.hasPending();
  }

  /** Returns whether a command has been pending for longer than the limit. */
  boolean hasUnansweredCommand(long now, long limitNanos) {
    return matcher.oldest().filter(command -> now - command.sentAt() > limitNanos).isPresent();
  }

  private WorkClass.Kind kind(ReplyMatcher.PendingCommand command) {
    return work.kind(command.command(), command.mayWrite());
  }

  /** Returns the oldest statement without a reply. */
  Optional<UnansweredStatement> oldestStatement() {
    return matcher.pending().stream()
        .filter(command -> command.command().isProven())
        .findFirst()
        .map(command -> new UnansweredStatement(kind(command), command.sentAt()));
  }

  /**
   * A statement without a reply.
   *
   * @param sentAt monotonic time in nanoseconds
   */
  record UnansweredStatement(WorkClass.Kind kind, long sentAt) {}

  /** Returns whether a command that may write is pending. */
  boolean hasPendingWrite() {
    return matcher.pending().stream().anyMatch(ReplyMatcher.PendingCommand::mayWrite);
  }

  /** Returns whether a statement of a caller, or what confirms its reply, has no reply yet. */
  private boolean awaitsStatement() {
    return matcher.pending().stream().anyMatch(c -> c.command().isProven() || c.mayWrite());
  }

  /** Closes the connection if its member is evacuated, unless a statement awaits its reply. */
  void closeIfEvacuated() {
    if (open && pool.access().mustClose(awaitsStatement())) {
      pool.onEvacuated();
      close(MemberPool.EVACUATED);
    }
  }

  /** Closes the connection and reports every pending command as lost. */
  public void close(String reason) {
    if (!open) {
      return;
    }
    link.close();
    end(reason, false);
  }

  void onLost(String reason) {
    end(reason, true);
  }

  private void end(String reason, boolean byMember) {
    if (!open) {
      return;
    }
    open = false;
    List<ReplyMatcher.PendingCommand> left = matcher.pending();
    left.forEach(command -> pool.onUnanswered(kind(command), command, byMember));
    pool.onConnectionEnded(this);
    matcher.clear();
    left.forEach(command -> command.handler().lost(reason));
  }
}
