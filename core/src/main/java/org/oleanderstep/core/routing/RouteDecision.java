package org.oleanderstep.core.routing;

import java.time.Duration;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.position.LogPosition;

/** Where a statement goes. */
public sealed interface RouteDecision {

  /** The statement runs on this member now; a write only while the term is still the highest. */
  record Run(MemberId member, long term) implements RouteDecision {}

  /** The statement waits for the member to reach a position, at most for the given time. */
  record WaitFor(MemberId member, LogPosition position, Duration limit) implements RouteDecision {}

  /** The statement waits until the group has a primary, at most until its deadline. */
  record WaitForPrimary() implements RouteDecision {}

  /** No member can serve the statement. */
  record Refuse(NotRunReason reason) implements RouteDecision {}
}
