package org.oleanderstep.core.failover;

import org.oleanderstep.core.model.MemberId;

/** An order of {@link FailoverController} that the caller has to carry out. */
public sealed interface FailoverAction {

  /** Asks a member to promise a term to this candidate. */
  record SendFence(MemberId member, long term) implements FailoverAction {}

  /** Orders a member to become primary of a term that it promised to this candidate. */
  record SendPromote(MemberId member, long term) implements FailoverAction {}

  /** Reports that a higher term has a primary, for logs, routing and peers. */
  record PrimaryChanged(MemberId primary, long term) implements FailoverAction {}

  /**
   * Reports the end of a planned change of the primary.
   *
   * @param changed whether the requested member, or any other member if none was named, took over
   */
  record PlannedChangeFinished(boolean changed, String detail) implements FailoverAction {}
}
