package org.oleanderstep.core.admission;

import java.time.Duration;
import org.oleanderstep.core.model.OrganisationId;

/** An operation that needs a token of its organisation's rate before it may run. */
public interface QueuedOperation {

  /** Returns the organisation whose token is needed. */
  OrganisationId organisation();

  /** Returns the priority of the operation; lower values are served first. */
  int priority();

  /**
   * Returns how much longer the operation may wait; negative if its limit is exceeded.
   *
   * @param now nanoseconds of the monotonic clock
   */
  Duration remainingWait(long now);

  /** Called once when the operation has got a token. */
  void admit();

  /** Called once when the operation can't get a token in time. */
  void refuse();
}
