package org.oleanderstep.core.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.oleanderstep.core.model.MemberId;

/**
 * Limits what this VM sends to one member while that is cold, as after its start: a cold member is
 * slow, and a queue that builds up there takes seconds to shrink.
 *
 * <pre>{@code
 * limit.onReported(member.coldLeft(), now);
 * if (limit.allowsRequest(share, now, wallClockMillis)) {
 *   limit.onSent(now);
 *   // send the request
 * }
 * }</pre>
 *
 * <p>Counts requests in a sliding window, so that no second at all has more than permitted.
 *
 * <p>Not thread-safe. Times are in nanoseconds of the monotonic clock, unless stated otherwise.
 */
public final class ColdLimit {

  /** One second, and a fifth for requests that are delayed on their way. */
  static final Duration WINDOW = Duration.ofMillis(1_200);

  /**
   * Time after which the entry of a member that has become cold must have arrived: members write
   * theirs once a second, and one call to the store returns the entries of another second.
   */
  static final Duration REPORT_DELAY = Duration.ofSeconds(3);

  /** Bounds the record of requests sent; only that of a large bound and few VMs reaches it. */
  private static final int MAX_RECORDED = 4_096;

  private final MemberId member;
  private final Deque<Long> sent = new ArrayDeque<>();
  private long coldUntil;
  private long presumedUntil;

  /** Creates a limit for a member that is not cold. */
  public ColdLimit(MemberId member, long now) {
    this.member = member;
    coldUntil = now;
    presumedUntil = now;
  }

  /** Records how much longer the member stays cold, as its entry says. */
  public void onReported(Duration coldLeft, long now) {
    coldUntil = now + coldLeft.toNanos();
  }

  /**
   * Records that the member may have become cold without this VM knowing its new entry yet, as when
   * an evacuation ends. It counts as cold until such an entry must have arrived.
   */
  public void onPossiblyCold(long now) {
    presumedUntil = now + REPORT_DELAY.toNanos();
  }

  /** Returns whether the member is cold, or may be. */
  public boolean isCold(long now) {
    return coldUntil - now > 0 || presumedUntil - now > 0;
  }

  /** Returns how much longer the member is cold, or may be. */
  public Duration remaining(long now) {
    return Duration.ofNanos(Math.max(0, Math.max(coldUntil - now, presumedUntil - now)));
  }

  /** Returns whether a request may be sent now. */
  public boolean allowsRequest(ColdShare share, long now, long wallClockMillis) {
    if (!share.isLimited() || !isCold(now)) {
      return true;
    }
    forgetBefore(now - WINDOW.toNanos());
    return sent.size() < MAX_RECORDED && sent.size() < share.permits(member, wallClockMillis);
  }

  /** Records a request that is sent; requests before the member was known as cold count as well. */
  public void onSent(long now) {
    forgetBefore(now - WINDOW.toNanos());
    if (sent.size() >= MAX_RECORDED) {
      sent.removeFirst();
    }
    sent.addLast(now);
  }

  private void forgetBefore(long time) {
    while (!sent.isEmpty() && sent.peekFirst() - time <= 0) {
      sent.removeFirst();
    }
  }
}
