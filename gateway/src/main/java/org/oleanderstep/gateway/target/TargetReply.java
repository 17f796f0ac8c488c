package org.oleanderstep.gateway.target;

import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.SessionStatus;

/**
 * A member's complete reply to one command.
 *
 * @param answer the outcome of the command
 * @param status the transaction status of the connection afterwards
 * @param position the member's own log position; it is current only if the member was the primary
 */
public record TargetReply(Answer answer, SessionStatus status, Optional<LogPosition> position) {

  /** Returns whether the command succeeded. */
  public boolean succeeded() {
    return answer instanceof Answer.Success;
  }
}
