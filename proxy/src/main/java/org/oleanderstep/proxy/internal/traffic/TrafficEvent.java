package org.oleanderstep.proxy.internal.traffic;

import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/** Events that traffic threads report to the control thread. */
public sealed interface TrafficEvent {

  /**
   * A response carried a log position: the named incarnation of the member had applied everything
   * up to it.
   */
  record PositionSeen(
      DatabaseId database, MemberId member, String incarnation, LogPosition position)
      implements TrafficEvent {}

  /** A connection to a member could not be opened, or was lost without a response. */
  record MemberConnectionFailed(DatabaseId database, MemberId member, String incarnation)
      implements TrafficEvent {}

  /** A member refused a write because it is not the primary of its highest term. */
  record MemberRefusedWrite(DatabaseId database, MemberId member, long term)
      implements TrafficEvent {}

  /** A session token names a configuration generation that this proxy does not have yet. */
  record GenerationSeen(long generation) implements TrafficEvent {}
}
