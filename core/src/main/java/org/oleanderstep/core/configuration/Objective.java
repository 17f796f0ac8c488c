package org.oleanderstep.core.configuration;

import java.time.Duration;
import java.util.Optional;

/**
 * A service-level objective of one organisation for one service.
 *
 * @param target fraction of good events, above 0 and below 1
 * @param threshold latency or gap above which an event is bad; present if and only if the indicator
 *     needs one
 */
public record Objective(
    String name,
    String service,
    String organisation,
    Indicator indicator,
    double target,
    Optional<Duration> threshold) {

  /** The service-level indicator that an objective refers to. */
  public enum Indicator {
    AVAILABILITY(false),
    REPLICA_READ_SHARE(false),
    FAILOVER_GAP(true),
    LATENCY(true),
    REFUSED_INSIDE_RATE(false);

    private final boolean thresholdNeeded;

    Indicator(boolean thresholdNeeded) {
      this.thresholdNeeded = thresholdNeeded;
    }

    /** Returns whether an objective with this indicator needs a threshold. */
    public boolean needsThreshold() {
      return thresholdNeeded;
    }
  }
}
