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
  SuspendAwareClock SYSTEM = () -> new ClockReading(System.nanoTime(), System.currentTimeMillis());

  /** Reads both clocks. */
  ClockReading read();
}
