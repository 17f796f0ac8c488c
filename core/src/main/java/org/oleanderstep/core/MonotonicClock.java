package org.oleanderstep.core;

/**
 * A source of elapsed time that never goes back, such as {@code System::nanoTime}.
 *
 * <p>All durations that a decision depends on are measured with this clock, so that a test can pass
 * its own.
 */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns the time in nanoseconds since an arbitrary origin. */
  long nanoTime();
}
