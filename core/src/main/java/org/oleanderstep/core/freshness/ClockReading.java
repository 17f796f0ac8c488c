package org.oleanderstep.core.freshness;

import java.time.Duration;

/**
 * A reading of the monotonic clock and the wall clock, taken together.
 *
 * <pre>{@code
 * Duration age = reading.ageAt(clock.read());
 * }</pre>
 *
 * <p>The monotonic clock does not advance while a VM is suspended, and the wall clock may be set
 * back. An age measured by one of them alone can be too small, so the larger of both ages is used.
 *
 * @param monotonicNanos monotonic time, in nanoseconds since an arbitrary origin
 * @param wallClockMillis wall-clock time, in milliseconds since the Unix epoch
 */
public record ClockReading(long monotonicNanos, long wallClockMillis) {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Returns the time from this reading to a later one, at least zero. */
  public Duration ageAt(ClockReading now) {
    return Duration.ofNanos(ageNanosAt(now));
  }

  /** Returns the time from this reading to a later one in nanoseconds, at least zero. */
  public long ageNanosAt(ClockReading now) {
    long monotonic = now.monotonicNanos - monotonicNanos;
    long wall = (now.wallClockMillis - wallClockMillis) * NANOS_PER_MILLI;
    return Math.max(0, Math.max(monotonic, wall));
  }
}
