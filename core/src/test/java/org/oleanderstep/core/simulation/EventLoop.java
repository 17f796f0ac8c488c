package org.oleanderstep.core.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.oleanderstep.core.MonotonicClock;

/** Runs actions in the order of their simulated times; equal times keep the order of addition. */
public final class EventLoop implements MonotonicClock {

  private record Event(long time, long order, Runnable body) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
  private long now;
  private long order;

  /** Creates a loop whose clock starts at a time. */
  public EventLoop(long start) {
    now = start;
  }

  @Override
  public long nanoTime() {
    return now;
  }

  /** Adds an action; one for an earlier time runs now. */
  public void at(long time, Runnable body) {
    events.add(new Event(Math.max(time, now), order++, body));
  }

  /** Runs everything up to a time. */
  public void runUntil(long end) {
    while (!events.isEmpty() && events.peek().time() <= end) {
      Event event = events.remove();
      now = event.time();
      event.body().run();
    }
    now = end;
  }
}
