package org.oleanderstep.core.routing;

import java.util.List;
import java.util.Optional;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;

/**
 * An immutable snapshot of a database group, published by the control thread.
 *
 * @param term highest term that was seen
 * @param primary primary of that term, empty while there is none
 * @param history earlier positions of primaries, oldest first, for reads with a maximum age
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
}
