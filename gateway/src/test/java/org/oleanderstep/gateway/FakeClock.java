package org.oleanderstep.gateway;

import java.time.Duration;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.freshness.SuspendAwareClock;

/** A monotonic clock and a wall clock that a test advances together or separately. */
public final class FakeClock implements SuspendAwareClock {

  private long steadyNanos = Duration.ofHours(1).toNanos();
  private long wallMillis = 1_700_000_000_000L;

  @Override
  public ClockReading read() {
    return new ClockReading(steadyNanos, wallMillis);
  }

  public void advance(Duration time) {
    steadyNanos += time.toNanos();
    wallMillis += time.toMillis();
  }

  /** Simulates a suspension of the VM, which only the wall clock counts. */
  public void suspend(Duration time) {
    wallMillis += time.toMillis();
  }
}
