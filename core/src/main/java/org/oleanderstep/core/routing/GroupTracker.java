package org.oleanderstep.core.routing;

import java.util.Collection;
import java.util.Set;
import org.oleanderstep.core.failover.MemberStatus;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/**
 * Collects what is known of the members of one group and publishes it as {@link GroupView}.
 *
 * <p>The tracker belongs to the control thread. Knowledge of a member's positions is dropped when
 * its incarnation changes.
 */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public final class GroupTracker {

  /**
   * Creates a tracker that knows nothing of the members yet.
   *
   * @param near members in the proxy's own failure domain
   */
  public GroupTracker(DatabaseId database, Collection<MemberId> members, Set<MemberId> near) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /**
   * Takes a status.
   *
   * @param askedNanos when the request for it was sent
   */
  public void onStatus(MemberStatus status, long askedNanos, long nowNanos) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /**
   * Takes the position that came with an answer to a statement.
   *
   * @param incarnation incarnation of the member at the time the connection was opened
   */
  public void onAnswer(MemberId member, String incarnation, LogPosition applied, long nowNanos) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Takes note that a status request or a connection to the member failed. */
  public void onFailure(MemberId member) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Takes note that a term exists, for instance from a peer; lower terms are ignored. */
  public void onTerm(long term) {
    throw new UnsupportedOperationException("not implemented yet");
  }

  /** Returns the present knowledge; the same instance as before if nothing has changed. */
  public GroupView view() {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
