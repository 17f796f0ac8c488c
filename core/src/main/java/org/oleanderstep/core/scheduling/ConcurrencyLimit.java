package org.oleanderstep.core.scheduling;

/**
 * The number of statements that one process runs at the same time on one member, adapted to latency
 * by additive increase and multiplicative decrease.
 *
 * <p>Not safe for use by several threads.
 */
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class ConcurrencyLimit {

  /**
   * Creates a limit.
   *
   * @param slots statements that the member runs at the same time
   */
  public ConcurrencyLimit(int slots) {
    throw new UnsupportedOperationException("" + slots);
  }

  /** Returns the present limit, at least one. */
  public int limit() {
    throw new UnsupportedOperationException();
  }

  /** Returns the statements that run. */
  public int running() {
    throw new UnsupportedOperationException();
  }

  /** Starts a statement if the limit allows it. */
  public boolean tryStart() {
    throw new UnsupportedOperationException();
  }

  /**
   * Ends a statement.
   *
   * @param latencyNanos time the member took
   * @param dropped whether it failed for lack of capacity or time
   * @param now time of the end
   */
  public void end(long latencyNanos, boolean dropped, long now) {
    throw new UnsupportedOperationException(latencyNanos + " " + dropped + now);
  }
}
