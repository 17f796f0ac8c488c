package org.oleanderstep.core.failover;

/** State of a {@link FailoverController}. */
public enum Phase {
  /** Observes the members. */
  WATCHING,
  /** Has found that a failover is needed, and waits for the delay of this proxy's rank. */
  DELAYING,
  /** Collects promises for a new term. */
  FENCING,
  /** Waits for a successor to catch up, or for promises beyond a majority. */
  CATCHING_UP,
  /** Has requested a promotion and waits for the reply. */
  PROMOTING,
  /** Waits for a random time after a failed attempt before claiming a higher term. */
  BACKING_OFF,
  /** Waits, after a pause of the process, for fresh statuses of a majority. */
  RELEARNING
}
