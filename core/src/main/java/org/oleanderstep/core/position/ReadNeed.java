package org.oleanderstep.core.position;

/** What a session requires of the member that serves its next read. */
public sealed interface ReadNeed {

  /** Any member whose applied position is at least the given one may serve. */
  record AtLeast(LogPosition position) implements ReadNeed {}

  /**
   * Only the primary may serve, because nothing is known of the session or one of its writes has an
   * unknown outcome.
   */
  record PrimaryOnly() implements ReadNeed {}
}
