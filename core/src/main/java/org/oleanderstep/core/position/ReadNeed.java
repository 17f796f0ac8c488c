package org.oleanderstep.core.position;

/** What a session requires of the member that serves its next read. */
public sealed interface ReadNeed {

  /** Returns the position of the session's last known write or read. */
  LogPosition position();

  /**
   * Returns whether an answer from a member with this applied position may be given to the session.
   *
   * <p>A member may restart with older data between the choice of the member and the read, so the
   * position that comes with the answer decides.
   */
  boolean isMetBy(LogPosition applied);

  /** Any member whose applied position is at least the given one may serve. */
  record AtLeast(LogPosition position) implements ReadNeed {

    @Override
    public boolean isMetBy(LogPosition applied) {
      return applied.compareTo(position) >= 0;
    }
  }

  /**
   * Only the primary may serve, because nothing is known of the session or one of its writes has an
   * unknown outcome.
   *
   * @param position the need before; its term is at least that of the unknown write, so that a
   *     proxy that knows only an older primary does not serve the session. Index 0 is met by the
   *     first entry of the term, which a primary writes before it serves.
   */
  record PrimaryOnly(LogPosition position) implements ReadNeed {

    /** Creates the need of a session of which nothing is known. */
    public PrimaryOnly() {
      this(LogPosition.START);
    }

    @Override
    public boolean isMetBy(LogPosition applied) {
      return applied.compareTo(position) >= 0;
    }
  }
}
