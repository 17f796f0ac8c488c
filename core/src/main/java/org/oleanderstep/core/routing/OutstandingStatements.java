package org.oleanderstep.core.routing;

/** Current count of this proxy's statements that run on a member, read by traffic threads. */
@FunctionalInterface
public interface OutstandingStatements {

  /** Counts as they were when the view was published. */
  OutstandingStatements OF_VIEW = MemberView::outstanding;

  /** Returns the number of statements that were sent to the member and are not answered yet. */
  int on(MemberView member);
}
