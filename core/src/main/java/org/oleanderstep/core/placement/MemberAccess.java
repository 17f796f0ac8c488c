package org.oleanderstep.core.placement;

/** What may be done with a member, by whether its failure domain is evacuated. */
public enum MemberAccess {
  /** The member may be used for everything that its state allows. */
  OPEN,
  /** Nothing may be sent to the member; replies to what was sent before are awaited. */
  EVACUATED;

  /** Returns whether connections may be opened to the member, and commands be sent to it. */
  public boolean allowsSending() {
    return this == OPEN;
  }

  /** Returns whether the member may become, or stay, the primary of its service. */
  public boolean allowsPrimary() {
    return this == OPEN;
  }

  /**
   * Returns whether a connection to the member must be closed now. A statement that was sent has to
   * get its reply, since its outcome would be unknown; everything else, also an open transaction,
   * can end at once without effect.
   *
   * @param awaitsReply whether a statement that was sent over the connection has no reply yet
   */
  public boolean mustClose(boolean awaitsReply) {
    return this == EVACUATED && !awaitsReply;
  }
}
