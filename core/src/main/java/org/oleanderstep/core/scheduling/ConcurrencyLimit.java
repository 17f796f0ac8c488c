package org.oleanderstep.core.scheduling;

/**
 * Limits the statements that one process has in flight at one member, and adapts the limit to their
 * latency by additive increase and multiplicative decrease.
 *
 * <pre>{@code
 * if (limit.tryStart()) {
 *   run(statement);
 *   limit.end(latencyNanos, false, now);
 * }
 * }</pre>
 *
 * <p>The limit falls while the mean of recent latencies exceeds twice the baseline, a minimum that
 * rises only slowly. Otherwise it rises while it is fully used. Not thread-safe.
 */
public final class ConcurrencyLimit {

  /** Statements in flight for each slot: one executes while the others are in transit. */
  public static final int STATEMENTS_PER_SLOT = 4;

  private static final double DECREASE_FACTOR = 0.9;
  private static final double LATENCY_TOLERANCE = 2;
  private static final double RECENT_LATENCY_WEIGHT = 0.1;
  // The baseline follows a lasting rise of the latency slowly. With a fixed baseline, a member that
  // became permanently slower would stay at the minimum limit.
  private static final double BASELINE_RISE_WEIGHT = 0.001;
  private static final long MIN_DECREASE_INTERVAL_NANOS = 10_000_000;

  private int maxLimit;
  private double limit;
  private int inFlight;
  private double recentLatency;
  private double baselineLatency;
  private boolean hasDecreased;
  private long lastDecreaseAt;

  /**
   * Creates a limit.
   *
   * @param slots statements that the member runs at the same time
   */
  public ConcurrencyLimit(int slots) {
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be positive: " + slots);
    }
    maxLimit = slots * STATEMENTS_PER_SLOT;
    limit = maxLimit;
  }

  /**
   * Replaces the largest limit, for example because a process has fewer connections than the member
   * could use. The current limit follows if it was at the largest one, or is above the new one.
   */
  public void updateMaxLimit(int max) {
    if (max < 1) {
      throw new IllegalArgumentException("the largest limit must be positive: " + max);
    }
    limit = limit >= maxLimit ? max : Math.min(limit, max);
    maxLimit = max;
  }

  /** Returns the current limit, at least one. */
  public int limit() {
    return (int) limit;
  }

  /** Returns the number of statements in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Starts a statement if the limit allows it, and returns whether it did. */
  public boolean tryStart() {
    if (inFlight >= limit()) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Starts a statement that can't wait, such as one of a transaction that is open. */
  public void start() {
    inFlight++;
  }

  /**
   * Ends a statement.
   *
   * @param latencyNanos time that the member took
   * @param dropped whether it failed for lack of capacity or time
   * @param now time of the end
   * @throws IllegalStateException if no statement is in flight
   */
  public void end(long latencyNanos, boolean dropped, long now) {
    if (inFlight == 0) {
      throw new IllegalStateException("a statement ended while none was in flight");
    }
    boolean saturated = inFlight >= limit();
    inFlight--;
    recordLatency(latencyNanos);
    if (dropped || recentLatency > baselineLatency * LATENCY_TOLERANCE) {
      decrease(now);
    } else if (saturated) {
      limit = Math.min(maxLimit, limit + 1 / limit);
    }
  }

  /**
   * Ends a statement whose latency says nothing of the member's load.
   *
   * @throws IllegalStateException if no statement is in flight
   */
  public void endUnmeasured() {
    if (inFlight == 0) {
      throw new IllegalStateException("a statement ended while none was in flight");
    }
    inFlight--;
  }

  private void recordLatency(long latencyNanos) {
    double latency = Math.max(1, latencyNanos);
    if (baselineLatency == 0) {
      recentLatency = latency;
      baselineLatency = latency;
      return;
    }
    recentLatency += (latency - recentLatency) * RECENT_LATENCY_WEIGHT;
    baselineLatency =
        Math.min(
            recentLatency,
            baselineLatency + (recentLatency - baselineLatency) * BASELINE_RISE_WEIGHT);
  }

  // Decreases at most once for each round of statements, because all statements of a round observe
  // the same queue at the member.
  private void decrease(long now) {
    long interval = Math.max(MIN_DECREASE_INTERVAL_NANOS, (long) recentLatency);
    if (hasDecreased && now - lastDecreaseAt < interval) {
      return;
    }
    hasDecreased = true;
    lastDecreaseAt = now;
    limit = Math.max(1, Math.floor(limit * DECREASE_FACTOR));
  }
}
