package org.oleanderstep.core.scheduling;

/**
 * The number of statements that one process runs at the same time on one member, adapted to latency
 * by additive increase and multiplicative decrease.
 *
 * <pre>{@code
 * if (limit.tryStart()) {
 *   run(statement);
 *   limit.end(latencyNanos, false, now);
 * }
 * }</pre>
 *
 * <p>The limit falls while the mean latency is above twice its long-term floor, and rises while it
 * is not and the limit is in use. Not safe for use by several threads.
 */
public final class ConcurrencyLimit {

  /** Statements in flight for each slot; one runs while others travel. */
  public static final int STATEMENTS_PER_SLOT = 4;

  private static final double DECREASE = 0.9;
  private static final double TOLERANCE = 2;
  private static final double SHORT_WEIGHT = 0.1;
  // The floor follows a lasting rise slowly, so that a member that became slower for good is not
  // held at its least limit for ever.
  private static final double FLOOR_RISE = 0.001;
  private static final long LEAST_DECREASE_INTERVAL_NANOS = 10_000_000;

  private final int most;
  private double limit;
  private int running;
  private double shortMean;
  private double floor;
  private boolean decreased;
  private long decreasedAt;

  /**
   * Creates a limit.
   *
   * @param slots statements that the member runs at the same time
   */
  public ConcurrencyLimit(int slots) {
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be positive: " + slots);
    }
    most = slots * STATEMENTS_PER_SLOT;
    limit = most;
  }

  /** Returns the present limit, at least one. */
  public int limit() {
    return (int) limit;
  }

  /** Returns the statements that run. */
  public int running() {
    return running;
  }

  /** Starts a statement if the limit allows it. */
  public boolean tryStart() {
    if (running >= limit()) {
      return false;
    }
    running++;
    return true;
  }

  /**
   * Ends a statement.
   *
   * @param latencyNanos time the member took
   * @param dropped whether it failed for lack of capacity or time
   * @param now time of the end
   * @throws IllegalStateException if no statement runs
   */
  public void end(long latencyNanos, boolean dropped, long now) {
    if (running == 0) {
      throw new IllegalStateException("no statement runs that could end");
    }
    boolean saturated = running >= limit();
    running--;
    observe(latencyNanos);
    if (dropped || shortMean > floor * TOLERANCE) {
      decrease(now);
    } else if (saturated) {
      limit = Math.min(most, limit + 1 / limit);
    }
  }

  private void observe(long latencyNanos) {
    double latency = Math.max(1, latencyNanos);
    if (floor == 0) {
      shortMean = latency;
      floor = latency;
      return;
    }
    shortMean += (latency - shortMean) * SHORT_WEIGHT;
    floor = Math.min(shortMean, floor + (shortMean - floor) * FLOOR_RISE);
  }

  // One decrease for each round of statements; all statements of a round report the same queue.
  private void decrease(long now) {
    long interval = Math.max(LEAST_DECREASE_INTERVAL_NANOS, (long) shortMean);
    if (decreased && now - decreasedAt < interval) {
      return;
    }
    decreased = true;
    decreasedAt = now;
    limit = Math.max(1, Math.floor(limit * DECREASE));
  }
}
