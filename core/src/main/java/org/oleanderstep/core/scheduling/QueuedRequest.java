package org.oleanderstep.core.scheduling;

import org.oleanderstep.core.model.OrganisationId;

/** What a {@link ServiceQueue} knows about a request. Times are nanoseconds of one clock. */
public interface QueuedRequest {

  /** Returns the organisation on whose account the request is served. */
  OrganisationId organisation();

  /** Returns the priority; lower values are more urgent, and 0 is the most urgent. */
  int priority();

  /** Returns whether only the primary may serve the request. */
  boolean needsPrimary();

  /** Returns the time until which the caller expects the answer. */
  long targetAt();

  /** Returns how long the caller was to wait at most, from its arrival to {@link #targetAt}. */
  long targetNanos();

  /** Returns the time from which on the request can't be served within its timeout. */
  long expiresAt();
}
