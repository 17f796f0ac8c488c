package org.oleanderstep.core.failover;

/** What a {@link FailoverController} is doing. */
public enum Phase {
  /** Observes the members. */
  WATCHING,
  /** Suspects the primary and waits for the delay of its rank. */
  DELAYING,
  /** Collects promises of a new term. */
  FENCING,
  /** Holds a majority of promises and waits for the requested member to catch up. */
  CATCHING_UP,
  /** Has ordered a promotion and waits for the reply. */
  PROMOTING,
  /** Waits for a random time before it claims a higher term. */
  BACKING_OFF,
  /** Was paused and waits for fresh statuses before it trusts its own view again. */
  RELEARNING
}
