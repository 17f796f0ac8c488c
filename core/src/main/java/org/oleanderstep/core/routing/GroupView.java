package org.oleanderstep.core.routing;

import java.util.List;
import java.util.Optional;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/**
 * An immutable snapshot of a database group, published by the control thread.
 *
 * @param term highest term that was seen to have a primary
 * @param primary primary of that term, empty while there is none that can acknowledge writes
 * @param history proved positions of the primary, oldest first, for reads with a maximum age
 */
public record GroupView(
    DatabaseId database,
    long term,
    Optional<MemberId> primary,
    List<MemberView> members,
    List<PositionSample> history) {

  /** Copies the lists. */
  public GroupView {
    members = List.copyOf(members);
    history = List.copyOf(history);
  }

  /** Creates a view without history. */
  public GroupView(
      DatabaseId database, long term, Optional<MemberId> primary, List<MemberView> members) {
    this(database, term, primary, members, List.of());
  }

  /**
   * Returns a position that includes everything acknowledged before a time, or empty if none is
   * known.
   */
  public Optional<LogPosition> positionSince(long nanos) {
    // The first sample that was asked for at or after the time is the weakest sufficient one.
    for (PositionSample sample : history) {
      if (sample.askedNanos() - nanos >= 0) {
        return Optional.of(sample.position());
      }
    }
    return Optional.empty();
  }
}
