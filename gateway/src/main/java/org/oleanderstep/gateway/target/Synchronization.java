package org.oleanderstep.gateway.target;

import java.util.Optional;
import java.util.function.Consumer;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.FailureCode;

/**
 * Collects the replies to the changes of a connection's state.
 *
 * <p>Not thread-safe.
 */
final class Synchronization implements ReplyHandler {

  private final Consumer<Optional<Answer.Failure>> onDone;
  private final Consumer<String> closeConnection;
  private Optional<Answer.Failure> failure = Optional.empty();
  private int pendingReplies;
  private boolean done;

  /**
   * Creates the receiver of all replies.
   *
   * @param commands the number of commands
   * @param onDone receives the first failure, or an empty result if all changes are confirmed
   * @param closeConnection closes the connection for a reason
   */
  Synchronization(
      int commands, Consumer<Optional<Answer.Failure>> onDone, Consumer<String> closeConnection) {
    pendingReplies = commands;
    this.onDone = onDone;
    this.closeConnection = closeConnection;
  }

  @Override
  public void replied(TargetReply reply) {
    pendingReplies--;
    if (reply.answer() instanceof Answer.Failure refusal) {
      onFailure(refusal);
    }
    if (pendingReplies == 0) {
      finish();
    }
  }

  @Override
  public void lost(String reason) {
    onFailure(new Answer.Failure(FailureCode.OVERLOADED, reason));
    finish();
  }

  private void onFailure(Answer.Failure cause) {
    if (failure.isEmpty()) {
      failure = Optional.of(cause);
    }
    if (!cause.code().notRun()) {
      closeConnection.accept("the member may have applied a change of the session that failed");
    }
  }

  private void finish() {
    if (!done) {
      done = true;
      onDone.accept(failure);
    }
  }
}
