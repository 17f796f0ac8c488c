package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.core.model.VmId;

/**
 * Estimates how many tokens of an organisation each peer holds, and tracks which peers answer.
 *
 * <p>Not thread-safe.
 */
final class PeerTokenEstimates {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int MAX_DOUBLINGS = 10;

  /** A holder whose load has changed is noticed after this time at the latest. */
  private static final double MAX_PAUSE_NANOS = 0.5e9;

  private record Level(double tokens, long at) {}

  private record NoneLent(int count, long at) {}

  private final Map<VmId, Level> levels = new HashMap<>();
  private final Map<VmId, Long> requestedAt = new HashMap<>();
  private final Map<VmId, Long> timedOutAt = new HashMap<>();
  private final Map<VmId, NoneLent> noneLent = new HashMap<>();

  /** Records the number of tokens a peer reported, unless a later report is known. */
  void recordLevel(VmId peer, double tokens, long at) {
    Level known = levels.get(peer);
    if (known == null || at - known.at() >= 0) {
      levels.put(peer, new Level(tokens, at));
    }
  }

  /** Estimates the tokens of a peer; a peer that has never reported is assumed to be at its cap. */
  double estimate(VmId peer, double ratePerSecond, double cap, long now) {
    Level known = levels.get(peer);
    if (known == null) {
      return cap;
    }
    double accrued = Math.max(0, now - known.at()) / NANOS_PER_SECOND * ratePerSecond;
    return Math.min(cap, known.tokens() + accrued);
  }

  void recordRequest(VmId peer, long now) {
    requestedAt.put(peer, now);
  }

  /** Returns whether a request sent within {@code withinNanos} is unanswered. */
  boolean isRequestPending(VmId peer, long withinNanos, long now) {
    Long at = requestedAt.get(peer);
    return at != null && now - at < withinNanos;
  }

  /** Returns whether a request sent at least {@code afterNanos} ago is unanswered. */
  boolean isRequestOverdue(VmId peer, long afterNanos, long now) {
    Long at = requestedAt.get(peer);
    return at != null && now - at >= afterNanos;
  }

  /** Records whether a peer has lent anything in its latest reply. */
  void recordLent(VmId peer, boolean lent, long now) {
    if (lent) {
      noneLent.remove(peer);
    } else {
      int before = noneLent.getOrDefault(peer, new NoneLent(0, now)).count;
      noneLent.put(peer, new NoneLent(Math.min(MAX_DOUBLINGS, before + 1), now));
    }
  }

  /**
   * Returns how long a peer that has lent nothing is not to be asked again. While it lends nothing
   * although its next token must have been there, others take its tokens, and the time doubles.
   */
  long pauseNanos(VmId peer, double ratePerSecond, long now) {
    NoneLent last = noneLent.get(peer);
    Level known = levels.get(peer);
    if (last == null || known == null || ratePerSecond <= 0) {
      return 0;
    }
    double untilNext = Math.max(0, 1 - known.tokens) / ratePerSecond * NANOS_PER_SECOND;
    double pause = Math.min(MAX_PAUSE_NANOS, untilNext * (1L << (last.count - 1)));
    return (long) Math.max(untilNext, pause) - (now - last.at);
  }

  /** Records that a peer did not answer in time. */
  void recordTimeout(VmId peer, long now) {
    requestedAt.remove(peer);
    timedOutAt.put(peer, now);
  }

  /** Records the reply of a peer, which ends its back-off. */
  void recordReply(VmId peer, double remaining, long now) {
    requestedAt.remove(peer);
    timedOutAt.remove(peer);
    recordLevel(peer, remaining, now);
  }

  /** Returns whether a request to a peer timed out within {@code withinNanos}. */
  boolean isInBackoff(VmId peer, long withinNanos, long now) {
    Long at = timedOutAt.get(peer);
    return at != null && now - at < withinNanos;
  }
}
