package org.oleanderstep.gateway.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.session.SessionStatus;

/**
 * Finds out which command a reply belongs to.
 *
 * <p>Replies carry no id and arrive in the order of their commands, but a member may send one
 * again, at any later time. A reply belongs to the oldest command without a reply if nothing
 * contradicts that: it began to arrive after the command was sent; a statement's success has a
 * proof that no earlier reply had, and a command of the proxy has none; the transaction status is
 * one to which the command can lead. A position that falls contradicts only a write, and a refusal
 * that has come before: what a former primary had is rolled back.
 *
 * <p>A reply without a proof that is dropped as an earlier one may be that to a command whose place
 * a repeated one took. One may be dropped while commands are in flight; the next one is
 * contradictory, since repeated replies could otherwise answer all commands that follow.
 *
 * <p>Not thread-safe.
 */
final class ReplyMatcher {

  /** What a reply is. */
  enum Match {
    /** It belongs to the oldest command. */
    REPLY,
    /** It is that of the oldest command, an earlier refusal again, or that of a ROLLBACK. */
    UNCERTAIN_REFUSAL,
    /** It is an earlier one again. */
    REPEATED,
    /** It belongs to no command. */
    CONTRADICTORY
  }

  /** A command without a reply. */
  record PendingCommand(
      TargetCommand command, long number, long sentAt, boolean mayWrite, ReplyHandler handler) {}

  private final Deque<PendingCommand> pending = new ArrayDeque<>();
  private final ReplyHistory history = new ReplyHistory();
  private SessionStatus status = SessionStatus.IDLE;
  private LogPosition position = LogPosition.START;
  private long commandsSent;

  /** Whether a reply that may be that to a command in flight has been dropped. */
  private boolean droppedInFlight;

  /**
   * Whether the reply to a ROLLBACK outside of a transaction may still arrive, since a repeated one
   * may have taken its place. A new proof shows that it does not.
   */
  private boolean rollbackMayBeDue;

  /** Adds a command that is about to be sent. */
  void add(TargetCommand command, long sentAt, boolean mayWrite, ReplyHandler handler) {
    commandsSent++;
    droppedInFlight &= hasPending();
    pending.addLast(new PendingCommand(command, commandsSent, sentAt, mayWrite, handler));
  }

  /** Returns the transaction status after the last accepted reply. */
  SessionStatus status() {
    return status;
  }

  /** Returns the commands without a reply, the oldest first. */
  List<PendingCommand> pending() {
    return new ArrayList<>(pending);
  }

  boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Returns the oldest command without a reply. */
  Optional<PendingCommand> oldest() {
    return Optional.ofNullable(pending.peekFirst());
  }

  /** Forgets all commands. */
  void clear() {
    pending.clear();
  }

  /** Returns what a reply is, without accepting it. */
  Match match(TargetReply reply) {
    if (!canBelongToOldest(reply)) {
      boolean repeated = history.contains(reply) && (hasPending() || reply.status() == status);
      return repeated ? repeated(reply) : Match.CONTRADICTORY;
    }
    if (reply.succeeded()) {
      return Match.REPLY;
    }
    if (!history.containsWithPosition(reply)) {
      return rollbackMayBeDue ? Match.UNCERTAIN_REFUSAL : Match.REPLY;
    }
    return isLeftBehind(reply) ? repeated(reply) : Match.UNCERTAIN_REFUSAL;
  }

  private Match repeated(TargetReply reply) {
    return droppedInFlight && mayBeInFlight(reply) ? Match.CONTRADICTORY : Match.REPEATED;
  }

  /** A reply with a proof that has come before is certainly repeated. */
  private boolean mayBeInFlight(TargetReply reply) {
    return hasPending() && reply.proof().isEmpty();
  }

  /** Records that a reply is dropped as an earlier one again. */
  void drop(TargetReply reply) {
    droppedInFlight |= mayBeInFlight(reply);
  }

  /** Records a reply as that to the oldest command, which is returned. */
  PendingCommand accept(TargetReply reply) {
    PendingCommand oldest = pending.removeFirst();
    rollbackMayBeDue = mayLeaveRollback(reply, oldest.command);
    history.add(reply);
    status = reply.status();
    reply.position().ifPresent(p -> position = p);
    return oldest;
  }

  private boolean mayLeaveRollback(TargetReply reply, TargetCommand command) {
    boolean idleRollback =
        command instanceof TargetCommand.Rollback && status == SessionStatus.IDLE;
    boolean mayBeRepeated = reply.succeeded() && history.containsWithPosition(reply);
    return reply.proof().isEmpty() && (rollbackMayBeDue || (idleRollback && mayBeRepeated));
  }

  private boolean canBelongToOldest(TargetReply reply) {
    return oldest()
        .filter(command -> reply.commandsSent() >= command.number)
        .filter(command -> fits(reply, command.command))
        .filter(command -> !isWriteBeforeOthers(reply, command))
        .isPresent();
  }

  private boolean fits(TargetReply reply, TargetCommand command) {
    if (!reply.succeeded()) {
      return canFollowRefusal(reply, command);
    }
    boolean hasKnownProof = reply.proof().filter(history::hasProof).isPresent();
    return reply.proof().isPresent() == command.isProven()
        && !hasKnownProof
        && (command.mayReturnRows() || reply.rows().isEmpty())
        && reply.status() == command.statusAfterSuccess(status);
  }

  private boolean canFollowRefusal(TargetReply reply, TargetCommand command) {
    boolean usual =
        switch (reply.status()) {
          case IDLE ->
              status == SessionStatus.IDLE
                  || command.statusAfterSuccess(status) == SessionStatus.IDLE;
          case IN_TRANSACTION -> status == SessionStatus.IN_TRANSACTION;
          case FAILED_TRANSACTION -> status != SessionStatus.IDLE;
        };
    return usual || !history.contains(reply);
  }

  /** A primary that has executed a write has not lost what it had before. */
  private boolean isWriteBeforeOthers(TargetReply reply, PendingCommand command) {
    return command.mayWrite && reply.succeeded() && isLeftBehind(reply);
  }

  private boolean isLeftBehind(TargetReply reply) {
    return reply.position().filter(p -> p.compareTo(position) < 0).isPresent();
  }
}
