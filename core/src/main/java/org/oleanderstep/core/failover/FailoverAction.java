package org.oleanderstep.core.failover;

import org.oleanderstep.core.model.MemberId;

/** A message to send or a result to report for a {@link FailoverController}. */
public sealed interface FailoverAction {

  /** Asks a member to promise a term to this candidate and to reject lower terms. */
  record SendFence(MemberId member, long term) implements FailoverAction {}

  /** Requests that a member become primary of a term that it promised to this candidate. */
  record SendPromote(MemberId member, long term) implements FailoverAction {}

  /** Reports that a higher term has a primary, for logs, routing and peers. */
  record PrimaryChanged(MemberId primary, long term) implements FailoverAction {}

  /**
   * Reports the end of a switchover.
   *
   * @param succeeded whether the requested successor, or any other member if none was named, became
   *     primary
   */
  record SwitchoverFinished(boolean succeeded, String detail) implements FailoverAction {}
}
