package org.oleanderstep.core.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.oleanderstep.core.MonotonicClock;

/** Runs actions in the order of their simulated times, and in insertion order at equal times. */
public final class EventLoop implements MonotonicClock {

  private record Event(long time, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
  private long now;
  private long sequence;

  /** Creates a loop whose clock starts at the given time. */
  public EventLoop(long start) {
    now = start;
  }

  @Override
  public long nanoTime() {
    return now;
  }

  /** Schedules an action; a time in the past is taken as the current time. */
  public void at(long time, Runnable action) {
    events.add(new Event(Math.max(time, now), sequence++, action));
  }

  /** Runs all actions up to and including the given time, and sets the clock to it. */
  public void runUntil(long end) {
    while (!events.isEmpty() && events.peek().time() <= end) {
      Event event = events.remove();
      now = event.time();
      event.action().run();
    }
    now = end;
  }
}
