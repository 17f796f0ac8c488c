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
 */
public record GroupView(
    DatabaseId database, long term, Optional<MemberId> primary, List<MemberView> members) {

  /** Copies the list of members. */
  public GroupView {
    members = List.copyOf(members);
  }
}
