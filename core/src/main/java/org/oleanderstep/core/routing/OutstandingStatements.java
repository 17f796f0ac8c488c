package org.oleanderstep.core.routing;

/**
 * Number of statements that this proxy has in flight on each member, for load balancing.
 *
 * <p>Implementations must be thread-safe; traffic threads read the counts.
 */
@FunctionalInterface
public interface OutstandingStatements {

  /** Uses the counts of the time at which the view was published. */
  OutstandingStatements FROM_VIEW = MemberView::outstanding;

  /** Returns the number of statements sent to the member that have no response yet. */
  int count(MemberView member);
}
