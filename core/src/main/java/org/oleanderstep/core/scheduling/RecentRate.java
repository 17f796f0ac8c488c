package org.oleanderstep.core.scheduling;

import java.time.Duration;

/** Counts events over the last half to full second. Times are monotonic nanoseconds. */
final class RecentRate {

  private static final long WINDOW_NANOS = Duration.ofMillis(500).toNanos();

  private long windowStart;
  private int current;
  private int previous;

  RecentRate(long now) {
    windowStart = now - WINDOW_NANOS;
  }

  void record(long now) {
    rotate(now);
    current++;
  }

  private void rotate(long now) {
    long elapsed = now - windowStart;
    if (elapsed < WINDOW_NANOS) {
      return;
    }
    previous = elapsed < 2 * WINDOW_NANOS ? current : 0;
    current = 0;
    windowStart = now;
  }

  /** Returns the events per nanosecond. */
  double perNano(long now) {
    rotate(now);
    return (double) (previous + current) / (WINDOW_NANOS + now - windowStart);
  }
}
