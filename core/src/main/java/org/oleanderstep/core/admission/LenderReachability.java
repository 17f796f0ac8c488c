package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.core.model.VmId;

/**
 * Which lenders answer, over the organisations of all requests to them.
 *
 * <p>A lost datagram and a lender that is gone look alike, so the first back-off is short and
 * doubles with each further request that is not answered. Not thread-safe. Times are nanoseconds of
 * a monotonic clock.
 */
final class LenderReachability {

  private static final int MAX_DOUBLINGS = 20;

  private record Timeouts(int count, long latest) {}

  private final BorrowingPolicy policy;
  private final Map<VmId, Timeouts> timeouts = new HashMap<>();

  LenderReachability(BorrowingPolicy policy) {
    this.policy = policy;
  }

  void onReply(VmId lender) {
    timeouts.remove(lender);
  }

  /** Records an unanswered request; those that were sent before the latest back-off don't count. */
  void onTimeout(VmId lender, long sentAt, long now) {
    Timeouts known = timeouts.get(lender);
    if (known == null) {
      timeouts.put(lender, new Timeouts(1, now));
    } else if (sentAt - known.latest >= 0) {
      timeouts.put(lender, new Timeouts(Math.min(MAX_DOUBLINGS, known.count + 1), now));
    }
  }

  /** Returns how many requests in a row were not answered. */
  int unanswered(VmId lender) {
    Timeouts known = timeouts.get(lender);
    return known == null ? 0 : known.count;
  }

  boolean isAvoided(VmId lender, long now) {
    Timeouts known = timeouts.get(lender);
    if (known == null) {
      return false;
    }
    long backoff = policy.firstBackoff().toNanos() << (known.count - 1);
    return now - known.latest < Math.min(policy.maxBackoff().toNanos(), backoff);
  }
}
