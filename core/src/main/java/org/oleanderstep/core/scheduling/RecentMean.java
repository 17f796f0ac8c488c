package org.oleanderstep.core.scheduling;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * An exponentially weighted mean of durations that is forgotten when no sample arrives.
 *
 * <p>Not thread-safe. Times are in nanoseconds of the monotonic clock.
 */
public final class RecentMean {

  private static final double SAMPLE_WEIGHT = 0.1;

  private final long validityNanos;
  private double mean;
  private long sampledAt;
  private boolean sampled;

  /** Creates a mean without samples, which is valid for some time after the last sample. */
  public RecentMean(Duration validity) {
    validityNanos = validity.toNanos();
  }

  /** Adds a sample. */
  public void record(long nanos, long now) {
    mean = isValid(now) ? mean + SAMPLE_WEIGHT * (nanos - mean) : nanos;
    sampled = true;
    sampledAt = now;
  }

  private boolean isValid(long now) {
    return sampled && now - sampledAt < validityNanos;
  }

  /** Returns the mean in nanoseconds; empty without a recent sample. */
  public OptionalLong nanos(long now) {
    return isValid(now) ? OptionalLong.of((long) mean) : OptionalLong.empty();
  }
}
