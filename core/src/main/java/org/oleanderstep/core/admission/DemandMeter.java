package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Measures the demand of each organisation in operations a second, as an exponential moving
 * average.
 *
 * <p>Not thread-safe; use it from a single thread. Times are nanoseconds of a monotonic clock.
 */
public final class DemandMeter {

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Weight of the latest interval while the demand rises. It is higher than {@link #FALL_WEIGHT},
   * since callers are refused until the average has followed a rise.
   */
  private static final double RISE_WEIGHT = 0.55;

  private static final double FALL_WEIGHT = 0.1;

  private final Map<OrganisationId, Integer> counts = new HashMap<>();
  private final Map<OrganisationId, Double> averages = new HashMap<>();
  private long intervalStart;

  /** Creates a meter whose first interval starts now. */
  public DemandMeter(long now) {
    intervalStart = now;
  }

  /** Counts one operation of an organisation. */
  public void record(OrganisationId organisation) {
    counts.merge(organisation, 1, Integer::sum);
  }

  /** Ends the current interval, and returns the average operations a second by organisation. */
  public Map<OrganisationId, Double> endInterval(long now) {
    double seconds = Math.max(1, now - intervalStart) / NANOS_PER_SECOND;
    intervalStart = now;
    averages.replaceAll((organisation, average) -> average * (1 - FALL_WEIGHT));
    counts.forEach(
        (organisation, count) -> {
          double rate = count / seconds;
          double decayed = averages.getOrDefault(organisation, 0.0);
          double previous = decayed / (1 - FALL_WEIGHT);
          double weight = rate > previous ? RISE_WEIGHT : FALL_WEIGHT;
          averages.put(organisation, previous + (rate - previous) * weight);
        });
    counts.clear();
    return Map.copyOf(averages);
  }
}
