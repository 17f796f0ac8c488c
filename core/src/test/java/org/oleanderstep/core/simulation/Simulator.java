package org.oleanderstep.core.simulation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * A simulated clock with an event queue, and a network and nodes that faults can be injected into.
 */
final class Simulator {

  static final long MILLIS = 1_000_000L;
  static final long SECONDS = 1_000 * MILLIS;

  private record Event(long timeNanos, long sequence, Runnable action) {}

  private static final Comparator<Event> ORDER =
      Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence);

  final Random random;
  private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
  private final Map<String, Long> pausedUntil = new HashMap<>();
  private final Set<String> stopped = new HashSet<>();
  private final Set<String> disconnectedLinks = new HashSet<>();
  private long now;
  private long sequence;
  private boolean lossy;

  Simulator(long seed) {
    random = new Random(seed);
  }

  long now() {
    return now;
  }

  void runUntil(long timeNanos) {
    while (!events.isEmpty() && events.peek().timeNanos() <= timeNanos) {
      Event event = events.poll();
      now = event.timeNanos();
      event.action().run();
    }
    now = timeNanos;
  }

  /** Schedules an action that belongs to no node, so that no fault delays it. */
  void after(long delayNanos, Runnable action) {
    events.add(new Event(now + delayNanos, sequence++, action));
  }

  /** Schedules an action on a node; a paused node runs it on resuming, a stopped node drops it. */
  void onNode(String node, long delayNanos, Runnable action) {
    after(delayNanos, () -> runOnNode(node, action));
  }

  private void runOnNode(String node, Runnable action) {
    long resume = pausedUntil.getOrDefault(node, 0L);
    if (stopped.contains(node)) {
      return;
    }
    if (resume > now) {
      onNode(node, resume - now, action);
    } else {
      action.run();
    }
  }

  /** Sends a message that may be delayed or lost. */
  void send(String from, String to, Runnable delivery) {
    boolean lost = lossy && random.nextInt(100) < 2;
    if (lost || stopped.contains(from) || disconnectedLinks.contains(link(from, to))) {
      return;
    }
    after(randomDelay(), () -> deliver(from, to, delivery));
  }

  /** Sends a message that may be delayed, lost or delivered twice. */
  void sendWithDuplicates(String from, String to, Runnable delivery) {
    send(from, to, delivery);
    if (lossy && random.nextInt(100) < 3) {
      send(from, to, delivery);
    }
  }

  private void deliver(String from, String to, Runnable delivery) {
    if (!disconnectedLinks.contains(link(from, to))) {
      runOnNode(to, delivery);
    }
  }

  private long randomDelay() {
    boolean slow = lossy && random.nextInt(100) < 3;
    return slow ? random.nextInt(400) * MILLIS : 200_000L + random.nextInt(1_500_000);
  }

  void setLossy(boolean isLossy) {
    lossy = isLossy;
  }

  void pause(String node, long durationNanos) {
    pausedUntil.put(node, now + durationNanos);
  }

  void stop(String node) {
    stopped.add(node);
  }

  void start(String node) {
    stopped.remove(node);
  }

  void disconnect(String a, String b) {
    disconnectedLinks.add(link(a, b));
  }

  void heal(String a, String b) {
    disconnectedLinks.remove(link(a, b));
  }

  void healAll() {
    disconnectedLinks.clear();
    pausedUntil.clear();
    stopped.clear();
    lossy = false;
  }

  private static String link(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }
}
