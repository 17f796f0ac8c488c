package org.oleanderstep.core.routing;

import java.time.Duration;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.position.LogPosition;

/** Result of routing a statement: the member that runs it, a wait, or a refusal. */
public sealed interface RouteDecision {

  /**
   * The statement runs on this member now; a write only while the term is still the highest.
   *
   * @param requiredPosition position that a read must see; if the response comes from a lower
   *     applied position, the member has restarted with older data, and the response must not be
   *     returned to the caller
   */
  record Run(MemberId member, long term, LogPosition requiredPosition) implements RouteDecision {

    /** Creates a decision for a statement that may run at any position. */
    public Run(MemberId member, long term) {
      this(member, term, LogPosition.START);
    }
  }

  /**
   * The statement waits until the member has applied a position, or until the time has elapsed.
   *
   * @param maxWait maximum time to wait
   */
  record WaitForPosition(MemberId member, LogPosition position, Duration maxWait)
      implements RouteDecision {}

  /** The statement waits until the group has a primary, at most until its deadline. */
  record WaitForPrimary() implements RouteDecision {}

  /**
   * The read waits until a majority of the members, including the primary, has replied to status
   * requests that were sent after the read arrived.
   */
  record AskMembers() implements RouteDecision {}

  /** No member can serve the statement. */
  record Refuse(NotRunReason reason) implements RouteDecision {}
}
