package org.oleanderstep.core.routing;

import java.time.Duration;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.position.LogPosition;

/** Where a statement goes. */
public sealed interface RouteDecision {

  /**
   * The statement runs on this member now; a write only while the term is still the highest.
   *
   * @param atLeast position that a read must see; an answer from a lower applied position must not
   *     be given to the caller, because the member has restarted with older data
   */
  record Run(MemberId member, long term, LogPosition atLeast) implements RouteDecision {

    /** Creates the decision for a statement that may run at any position. */
    public Run(MemberId member, long term) {
      this(member, term, LogPosition.START);
    }
  }

  /** The statement waits for the member to reach a position, at most for the given time. */
  record WaitFor(MemberId member, LogPosition position, Duration limit) implements RouteDecision {}

  /** The statement waits until the group has a primary, at most until its deadline. */
  record WaitForPrimary() implements RouteDecision {}

  /**
   * The read waits until a majority of members, the primary among them, has answered status
   * requests that were sent after the read arrived.
   */
  record AskMembers() implements RouteDecision {}

  /** No member can serve the statement. */
  record Refuse(NotRunReason reason) implements RouteDecision {}
}
