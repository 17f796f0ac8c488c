package org.oleanderstep.core.routing;

import java.util.List;
import java.util.Optional;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/**
 * An immutable snapshot of a database group, published by the control thread.
 *
 * @param term highest term that is known to have had a primary
 * @param primary primary of that term; empty if none can acknowledge writes
 * @param history positions of the primary that a majority confirmed, oldest first, for reads with a
 *     maximum age
 */
public record GroupView(
    DatabaseId database,
    long term,
    Optional<MemberId> primary,
    List<MemberView> members,
    List<ConfirmedPosition> history) {

  /** Copies the lists. */
  public GroupView {
    members = List.copyOf(members);
    history = List.copyOf(history);
  }

  /** Creates a view without confirmed positions. */
  public GroupView(
      DatabaseId database, long term, Optional<MemberId> primary, List<MemberView> members) {
    this(database, term, primary, members, List.of());
  }

  /**
   * Returns a position that includes all writes acknowledged before a time, or empty if none has
   * been confirmed.
   */
  public Optional<LogPosition> positionAsOf(long nanos) {
    // The first position confirmed as of the time or later is the lowest that is sufficient.
    for (ConfirmedPosition confirmed : history) {
      if (confirmed.asOfNanos() - nanos >= 0) {
        return Optional.of(confirmed.position());
      }
    }
    return Optional.empty();
  }
}
