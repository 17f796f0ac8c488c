package org.oleanderstep.gateway.target;

import java.time.Duration;

/**
 * The longest time that a member has recently taken to reply, and the timeouts that follow from it.
 *
 * <p>A member that is slow must not be taken for one that has failed: its running statements would
 * be given up and started again elsewhere, or a primary replaced that still serves. A member that
 * has always replied quickly is suspected after the minimum.
 *
 * <p>Not thread-safe. Times are in nanoseconds of the monotonic clock.
 */
final class ReplyLatency {

  private static final Duration WINDOW = Duration.ofSeconds(3);

  /** A slow statement may take this much longer than the slowest recent one. */
  private static final int TOLERANCE_FACTOR = 2;

  private long windowStart;
  private long longest;
  private long longestInPreviousWindow;

  /** Creates a measurement without any reply. */
  ReplyLatency(long now) {
    windowStart = now;
  }

  /** Records the time that a reply took. */
  void record(long latencyNanos, long now) {
    rotate(now);
    longest = Math.max(longest, latencyNanos);
  }

  private void rotate(long now) {
    long elapsed = now - windowStart;
    if (elapsed < WINDOW.toNanos()) {
      return;
    }
    longestInPreviousWindow = elapsed < 2 * WINDOW.toNanos() ? longest : 0;
    longest = 0;
    windowStart = now;
  }

  /**
   * Returns how long to wait for a reply, in nanoseconds.
   *
   * @param min the timeout of a member that replies quickly
   * @param max the timeout of a slow member
   */
  long timeoutNanos(Duration min, Duration max, long now) {
    rotate(now);
    long tolerated = TOLERANCE_FACTOR * Math.max(longest, longestInPreviousWindow);
    return Math.max(min.toNanos(), Math.min(max.toNanos(), tolerated));
  }
}
