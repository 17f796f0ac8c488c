package org.oleanderstep.core.simulation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Runs events in the order of a simulated clock, and carries messages over a faulty network. */
final class Simulator {

  static final long MILLIS = 1_000_000L;
  static final long SECONDS = 1_000 * MILLIS;

  private record Event(long timeNanos, long sequence, Runnable action) {}

  private static final Comparator<Event> ORDER =
      Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence);

  final Random random;
  private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
  private final Map<String, Long> frozenUntil = new HashMap<>();
  private final Set<String> stopped = new HashSet<>();
  private final Set<String> cuts = new HashSet<>();
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

  /** Runs an action outside every node. */
  void after(long delayNanos, Runnable action) {
    events.add(new Event(now + delayNanos, sequence++, action));
  }

  /** Runs an action on a node; a frozen node runs it when it resumes, a stopped one never. */
  void onNode(String node, long delayNanos, Runnable action) {
    after(delayNanos, () -> runOnNode(node, action));
  }

  private void runOnNode(String node, Runnable action) {
    long resume = frozenUntil.getOrDefault(node, 0L);
    if (stopped.contains(node)) {
      return;
    }
    if (resume > now) {
      onNode(node, resume - now, action);
    } else {
      action.run();
    }
  }

  /** Sends a message that may be delayed and lost. */
  void send(String from, String to, Runnable delivery) {
    boolean lost = lossy && random.nextInt(100) < 2;
    if (lost || stopped.contains(from) || cuts.contains(link(from, to))) {
      return;
    }
    after(delay(), () -> arrive(from, to, delivery));
  }

  /** Sends a message that may also arrive twice. */
  void sendRepeatable(String from, String to, Runnable delivery) {
    send(from, to, delivery);
    if (lossy && random.nextInt(100) < 3) {
      send(from, to, delivery);
    }
  }

  private void arrive(String from, String to, Runnable delivery) {
    if (!cuts.contains(link(from, to))) {
      runOnNode(to, delivery);
    }
  }

  private long delay() {
    boolean slow = lossy && random.nextInt(100) < 3;
    return slow ? random.nextInt(400) * MILLIS : 200_000L + random.nextInt(1_500_000);
  }

  void setLossy(boolean isLossy) {
    lossy = isLossy;
  }

  void freeze(String node, long durationNanos) {
    frozenUntil.put(node, now + durationNanos);
  }

  void stop(String node) {
    stopped.add(node);
  }

  void start(String node) {
    stopped.remove(node);
  }

  void cut(String a, String b) {
    cuts.add(link(a, b));
  }

  void heal(String a, String b) {
    cuts.remove(link(a, b));
  }

  void healAll() {
    cuts.clear();
    frozenUntil.clear();
    stopped.clear();
    lossy = false;
  }

  private static String link(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }
}
