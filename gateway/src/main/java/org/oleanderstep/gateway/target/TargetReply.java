package org.oleanderstep.gateway.target;

import java.util.List;
import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.SessionStatus;

/**
 * A complete reply of a member.
 *
 * @param answer the outcome of the command
 * @param status the transaction status of the connection afterwards
 * @param position the member's own log position; it is current only if the member was the primary
 * @param receivedPosition the last commit that the member has received; empty unless the reply
 *     reports it
 * @param commandsSent the number of commands that had been sent over the connection when the reply
 *     began to arrive
 */
public record TargetReply(
    Answer answer,
    SessionStatus status,
    Optional<LogPosition> position,
    Optional<LogPosition> receivedPosition,
    long commandsSent) {

  /** Returns whether the command succeeded. */
  public boolean succeeded() {
    return answer instanceof Answer.Success;
  }

  /** Returns the database's proof that it executed a statement; empty if the reply has none. */
  Optional<String> proof() {
    return answer instanceof Answer.Success success && success.isProven()
        ? Optional.of(success.proof())
        : Optional.empty();
  }

  /** Returns the rows; empty if the command was refused. */
  List<String> rows() {
    return answer instanceof Answer.Success success ? success.rows() : List.of();
  }
}
