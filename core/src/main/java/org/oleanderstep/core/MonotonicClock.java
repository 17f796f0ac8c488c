package org.oleanderstep.core;

/**
 * A source of elapsed time that never decreases, such as {@code System::nanoTime}.
 *
 * <p>All durations that affect a decision are measured with a clock passed in as an argument, so
 * that tests can control the time.
 */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns the time in nanoseconds since an arbitrary origin. */
  long nanoTime();
}
