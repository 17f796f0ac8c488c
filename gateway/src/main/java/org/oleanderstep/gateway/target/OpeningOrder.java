package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.Map;
import java.util.WeakHashMap;
import org.oleanderstep.core.scheduling.RecentMean;

/**
 * Decides for which waiting requests a connection is opened.
 *
 * <p>A new connection takes a slot of its member. After a start, and after a member's connections
 * were lost together, all VMs open theirs at once, so that the member works off what was asked for
 * first. Each VM then opens one after the other, so that a connection for a request that is more
 * urgent waits for one other at most.
 *
 * <p>Not thread-safe. Times are in nanoseconds of the monotonic clock.
 */
final class OpeningOrder {

  /** Time in which a VM opens the connections that it needs after a start. */
  private static final Duration WARM_UP = Duration.ofSeconds(3);

  private static final Duration MEASUREMENT_VALIDITY = Duration.ofSeconds(5);

  private final RecentMean openingTime = new RecentMean(MEASUREMENT_VALIDITY);
  private final Map<MemberPool, Long> withoutConnectionAt = new WeakHashMap<>();

  /** Returns whether a connection to a member may be opened for a request. */
  boolean mayOpen(MemberPool pool, LeaseRequest request, long now) {
    boolean inTime = now + openingTime.nanos(now).orElse(0) - request.expiresAt() < 0;
    if (!pool.hasConnections()) {
      withoutConnectionAt.put(pool, now);
    }
    return inTime && (pool.openingConnections() == 0 || !isWarmingUp(pool, now));
  }

  private boolean isWarmingUp(MemberPool pool, long now) {
    Long since = withoutConnectionAt.get(pool);
    return since != null && now - since < WARM_UP.toNanos();
  }

  /** Records how long a request has waited for a connection that was opened for it. */
  void recordOpening(long nanos, long now) {
    openingTime.record(nanos, now);
  }
}
