package org.oleanderstep.core.scheduling;

import java.time.Duration;

/**
 * Estimates when a member will be available again that can serve a kind of request.
 *
 * <p>A promotion usually ends about a second after a primary was lost. One that takes longer may
 * end at any time; after some seconds, nothing can be said.
 *
 * <p>Not thread-safe. Times are in nanoseconds of the monotonic clock.
 */
public final class MemberOutage {

  private static final Duration USUAL = Duration.ofSeconds(1);
  private static final Duration OVERDUE = Duration.ofMillis(200);
  private static final Duration LONGEST_EXPECTED = Duration.ofSeconds(2);

  /** Longer than any request may wait. */
  private static final Duration UNKNOWN = Duration.ofHours(1);

  private long since;
  private boolean available;

  /** Creates an estimate for a kind of request that no member has served yet. */
  public MemberOutage(long now) {
    since = now;
  }

  /** Records whether a member is available. */
  public void update(boolean nowAvailable, long now) {
    if (available && !nowAvailable) {
      since = now;
    }
    available = nowAvailable;
  }

  /** Returns the expected time until a member is available; zero if one is. */
  public long remainingNanos(long now) {
    if (available) {
      return 0;
    }
    long elapsed = now - since;
    if (elapsed > LONGEST_EXPECTED.toNanos()) {
      return UNKNOWN.toNanos();
    }
    return Math.max(OVERDUE.toNanos(), USUAL.toNanos() - elapsed);
  }
}
