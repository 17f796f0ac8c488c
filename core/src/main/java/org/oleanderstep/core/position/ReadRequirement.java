package org.oleanderstep.core.position;

/** The requirement of a session for the member that serves its next read. */
public sealed interface ReadRequirement {

  /** Returns the highest position that the session is known to have written or read. */
  LogPosition position();

  /**
   * Returns whether an answer from a member with this applied position may be given to the session.
   *
   * <p>Checked against the position that comes with the answer, because a member may restart with
   * older data between its selection and the read.
   */
  boolean isSatisfiedBy(LogPosition applied);

  /** Any member whose applied position is at least the given one may serve the read. */
  record AtLeast(LogPosition position) implements ReadRequirement {

    @Override
    public boolean isSatisfiedBy(LogPosition applied) {
      return applied.compareTo(position) >= 0;
    }
  }

  /**
   * Only the primary may serve the read, because nothing is known about the session or one of its
   * writes has an unknown outcome.
   *
   * @param position the position that was required before; its term is at least that of the unknown
   *     write, so that a proxy that knows only an older primary does not serve the session. Index 0
   *     is satisfied by the first entry of the term, which a primary writes before it serves.
   */
  record PrimaryOnly(LogPosition position) implements ReadRequirement {

    /** Creates the requirement of a session about which nothing is known. */
    public PrimaryOnly() {
      this(LogPosition.START);
    }

    @Override
    public boolean isSatisfiedBy(LogPosition applied) {
      return applied.compareTo(position) >= 0;
    }
  }
}
