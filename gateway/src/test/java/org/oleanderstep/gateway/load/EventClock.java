package org.oleanderstep.gateway.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.freshness.SuspendAwareClock;

/** A simulated clock that runs events at their times. */
final class EventClock implements SuspendAwareClock {

  private record Event(long at, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long now = Duration.ofHours(1).toNanos();
  private long number;

  @Override
  public ClockReading read() {
    return new ClockReading(now, now / 1_000_000);
  }

  void after(long nanos, Runnable action) {
    events.add(new Event(now + nanos, number++, action));
  }

  void run(Duration time) {
    long end = now + time.toNanos();
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    now = end;
  }
}
