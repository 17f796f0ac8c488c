package org.oleanderstep.core.balancing;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * The latency of each kind of statement at the members of a service while they have little to do.
 *
 * <p>Statements of different kinds differ in work, so that members are compared by the ratio of a
 * latency to the reference of its kind. The reference falls quickly and rises slowly: it follows a
 * lasting change of the work, and not a period of high load. Not thread-safe. Times are in
 * nanoseconds of a monotonic clock.
 *
 * @param <K> the kinds of statements
 */
public final class ReferenceLatencies<K> {

  private static final Duration FALL_TIME = Duration.ofSeconds(2);
  private static final Duration RISE_TIME = Duration.ofSeconds(30);
  private static final double MAX_STEP = 0.5;
  private static final int MAX_KINDS = 64;

  /** Protects the ratios from latencies that are below the resolution of the clock. */
  private static final double MIN_LATENCY_NANOS = 100_000;

  private static final class Reference {
    private double nanos;
    private long updatedAt;

    private Reference(double nanos, long updatedAt) {
      this.nanos = nanos;
      this.updatedAt = updatedAt;
    }

    private void update(double sample, long now) {
      double elapsed = Math.max(0, now - updatedAt);
      double time = sample < nanos ? FALL_TIME.toNanos() : RISE_TIME.toNanos();
      nanos += (sample - nanos) * Math.min(MAX_STEP, elapsed / time);
      updatedAt = now;
    }
  }

  private final Map<K, Reference> references = new HashMap<>();

  /** Records a latency, and returns its ratio to the reference before it. */
  public double record(K kind, long latencyNanos, long now) {
    double latency = bounded(latencyNanos);
    Reference reference = references.get(kind);
    if (reference == null) {
      removeOldestIfFull();
      reference = new Reference(latency, now);
      references.put(kind, reference);
    }
    double ratio = latency / reference.nanos;
    reference.update(latency, now);
    return ratio;
  }

  private static double bounded(long latencyNanos) {
    return Math.max(MIN_LATENCY_NANOS, (double) latencyNanos);
  }

  private void removeOldestIfFull() {
    if (references.size() < MAX_KINDS) {
      return;
    }
    references.entrySet().stream()
        .min(Comparator.comparingLong(entry -> entry.getValue().updatedAt))
        .map(Map.Entry::getKey)
        .ifPresent(references::remove);
  }

  /** Returns the ratio of a latency to its reference; 1 if there is none. */
  public double ratio(K kind, long latencyNanos) {
    Reference reference = references.get(kind);
    return reference == null ? 1 : bounded(latencyNanos) / reference.nanos;
  }

  /** Returns the reference in milliseconds, or an assumption if there is none. */
  public double millis(K kind, double assumed) {
    Reference reference = references.get(kind);
    return reference == null ? assumed : reference.nanos / Duration.ofMillis(1).toNanos();
  }
}
