package org.oleanderstep.core.freshness;

/**
 * A source of clock readings for ages that must include the time during which a VM was suspended.
 *
 * <p>All code that depends on such ages takes this interface, so that a test can set the two clocks
 * independently.
 */
@FunctionalInterface
public interface SuspendAwareClock {

  /** The clocks of this VM. */
  SuspendAwareClock SYSTEM =
      new SuspendAwareClock() {
        @Override
        public ClockReading read() {
          return new ClockReading(System.nanoTime(), System.currentTimeMillis());
        }

        @Override
        public long monotonicNanos() {
          return System.nanoTime();
        }
      };

  /** Reads both clocks. */
  ClockReading read();

  /** Reads only the monotonic clock, in nanoseconds since an arbitrary origin. */
  default long monotonicNanos() {
    return read().monotonicNanos();
  }
}
