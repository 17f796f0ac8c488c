package org.oleanderstep.proxy.internal.traffic;

import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/** What traffic threads tell the control thread. */
public sealed interface TrafficEvent {

  /**
   * An answer carried a log position. The member had applied everything up to it, on the
   * incarnation that the answer names.
   */
  record PositionSeen(
      DatabaseId database, MemberId member, String incarnation, LogPosition position)
      implements TrafficEvent {}

  /** A connection to a member could not be opened, or broke without an answer. */
  record MemberConnectionFailed(DatabaseId database, MemberId member, String incarnation)
      implements TrafficEvent {}

  /** A member refused a write because it is not the primary of its highest term. */
  record MemberRefusedWrite(DatabaseId database, MemberId member, long term)
      implements TrafficEvent {}

  /** A session's token shows a configuration generation that this proxy does not have yet. */
  record GenerationSeen(long generation) implements TrafficEvent {}
}
