package org.oleanderstep.gateway;

import java.time.Duration;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.freshness.SuspendAwareClock;

/** A monotonic clock and a wall clock that a test advances together or separately. */
public final class FakeClock implements SuspendAwareClock {

  private long monotonicNanos = Duration.ofHours(1).toNanos();
  private long wallClockMillis = 1_700_000_000_000L;

  @Override
  public ClockReading read() {
    return new ClockReading(monotonicNanos, wallClockMillis);
  }

  public void advance(Duration time) {
    monotonicNanos += time.toNanos();
    wallClockMillis += time.toMillis();
  }

  /** Simulates a suspension of the VM, which only the wall clock counts. */
  public void suspend(Duration time) {
    wallClockMillis += time.toMillis();
  }
}
