package org.oleanderstep.gateway.target;

import java.util.Optional;
import java.util.function.Consumer;
import org.oleanderstep.gateway.session.Answer;

/**
 * Holds back a reply until the replies to further commands have shown that it belongs to its own
 * command and is not an earlier one again.
 *
 * <p>If it was, the replies are shifted by one: the next one is then that to the command itself.
 *
 * <p>Not thread-safe.
 */
final class ConfirmedReply {

  private final ReplyHandler receiver;
  private final Consumer<String> closeConnection;
  private Optional<TargetReply> held = Optional.empty();
  private int pendingConfirmations;
  private boolean done;

  /**
   * Creates a receiver for a reply.
   *
   * @param confirmations the number of commands that follow; each reply is passed to {@link
   *     #confirmation}
   * @param closeConnection closes the connection for a reason
   */
  ConfirmedReply(ReplyHandler receiver, int confirmations, Consumer<String> closeConnection) {
    this.receiver = receiver;
    this.closeConnection = closeConnection;
    pendingConfirmations = confirmations;
  }

  /** Holds back a reply. */
  void hold(TargetReply reply) {
    held = Optional.of(reply);
  }

  /** Returns the handler of the reply to hold back. */
  ReplyHandler first() {
    return handler(this::hold);
  }

  /** Returns the handler of the reply to a command that follows. */
  ReplyHandler confirmation() {
    return handler(this::onConfirmation);
  }

  private ReplyHandler handler(Consumer<TargetReply> onReply) {
    return new ReplyHandler() {
      @Override
      public void replied(TargetReply reply) {
        onReply.accept(reply);
      }

      @Override
      public void lost(String reason) {
        onLost(reason);
      }
    };
  }

  private void onConfirmation(TargetReply reply) {
    pendingConfirmations--;
    if (reply.answer() instanceof Answer.Failure failure) {
      onRefused(failure);
    } else if (pendingConfirmations == 0 && !done) {
      done = true;
      receiver.replied(held.orElseThrow());
    }
  }

  /**
   * Ends without a confirmation. The refusal may be that to the command itself; if neither it nor
   * the one that is held back tells of a command that has run, the command has not run.
   */
  private void onRefused(Answer.Failure failure) {
    String reason = "the member refused a command that confirms the reply before it";
    boolean notRun = failure.code().notRun() && held.filter(TargetReply::succeeded).isEmpty();
    boolean first = !done;
    done = true;
    closeConnection.accept(reason);
    if (first && notRun) {
      receiver.replied(held.orElseThrow());
    } else if (first) {
      receiver.lost(reason);
    }
  }

  private void onLost(String reason) {
    if (!done) {
      done = true;
      receiver.lost(reason);
    }
  }
}
