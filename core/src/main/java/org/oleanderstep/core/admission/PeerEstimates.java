package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.core.model.VmId;

/** What each peer probably holds of an organisation's tokens. */
final class PeerEstimates {

  private static final double NANOS_PER_SECOND = 1e9;

  private record Level(double tokens, long at) {}

  private final Map<VmId, Level> levels = new HashMap<>();
  private final Map<VmId, Long> askedAt = new HashMap<>();
  private final Map<VmId, Long> avoidedSince = new HashMap<>();

  /** Notes a level, unless a later one is known. */
  void note(VmId peer, double tokens, long at) {
    Level known = levels.get(peer);
    if (known == null || at - known.at() >= 0) {
      levels.put(peer, new Level(tokens, at));
    }
  }

  /** Returns the probable level; a peer that was never heard of is taken to be full. */
  double estimate(VmId peer, double ratePerSecond, double cap, long now) {
    Level known = levels.get(peer);
    if (known == null) {
      return cap;
    }
    double accrued = Math.max(0, now - known.at()) / NANOS_PER_SECOND * ratePerSecond;
    return Math.min(cap, known.tokens() + accrued);
  }

  void noteAsked(VmId peer, long now) {
    askedAt.put(peer, now);
  }

  /** Returns whether a peer was asked within a time and has not answered. */
  boolean isAsked(VmId peer, long withinNanos, long now) {
    Long at = askedAt.get(peer);
    return at != null && now - at < withinNanos;
  }

  /** Returns whether a peer was asked longer ago than a time and has not answered. */
  boolean isLost(VmId peer, long afterNanos, long now) {
    Long at = askedAt.get(peer);
    return at != null && now - at >= afterNanos;
  }

  /** Notes that a peer did not answer in time. */
  void noteSilent(VmId peer, long now) {
    askedAt.remove(peer);
    avoidedSince.put(peer, now);
  }

  /** Notes that a peer answered. */
  void noteAnswered(VmId peer, double remaining, long now) {
    askedAt.remove(peer);
    avoidedSince.remove(peer);
    note(peer, remaining, now);
  }

  /** Returns whether a peer was silent within a time. */
  boolean isAvoided(VmId peer, long withinNanos, long now) {
    Long since = avoidedSince.get(peer);
    return since != null && now - since < withinNanos;
  }
}
