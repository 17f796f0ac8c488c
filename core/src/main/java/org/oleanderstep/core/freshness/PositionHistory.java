package org.oleanderstep.core.freshness;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;

/**
 * Recent log positions of a primary, each with the time at which it was requested. A position
 * includes every write that was acknowledged before the request.
 *
 * <pre>{@code
 * history.add(requestedAt, position);
 * Optional<LogPosition> required = history.oldestWithin(Duration.ofMillis(1_400), clock.read());
 * }</pre>
 *
 * <p>Add only positions of a member that was the primary when it answered. Not thread-safe.
 */
public final class PositionHistory {

  private static final Duration MIN_SAMPLE_INTERVAL = Duration.ofMillis(40);
  private static final Duration RETENTION = Duration.ofSeconds(5);

  private record Sample(ClockReading requestedAt, LogPosition position) {}

  private final Deque<Sample> samples = new ArrayDeque<>();

  /**
   * Adds a position.
   *
   * @param requestedAt time at which the request was sent, not at which the answer arrived
   */
  public void add(ClockReading requestedAt, LogPosition position) {
    Sample newest = samples.peekLast();
    if (newest != null && position.term() < newest.position.term()) {
      return;
    }
    if (newest != null && position.term() > newest.position.term()) {
      // Entries of the old term beyond the start of the new one are rolled back, so a replica may
      // never reach an old position.
      samples.clear();
      newest = null;
    }
    if (newest != null
        && newest.requestedAt.ageNanosAt(requestedAt) < MIN_SAMPLE_INTERVAL.toNanos()) {
      return;
    }
    samples.addLast(new Sample(requestedAt, position));
    while (samples.getFirst().requestedAt.ageNanosAt(requestedAt) > RETENTION.toNanos()) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the oldest recorded position that includes every write that was acknowledged more than
   * the given time ago; empty if every position is too old.
   */
  public Optional<LogPosition> oldestWithin(Duration maxAge, ClockReading now) {
    for (Sample sample : samples) {
      if (sample.requestedAt.ageNanosAt(now) <= maxAge.toNanos()) {
        return Optional.of(sample.position);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns how long ago the primary is known to have reached a position; zero if it is not known
   * to have reached it.
   */
  public Duration timeSinceReached(LogPosition position, ClockReading now) {
    for (Sample sample : samples) {
      if (sample.position.compareTo(position) >= 0) {
        return sample.requestedAt.ageAt(now);
      }
    }
    return Duration.ZERO;
  }

  /** Returns the age of the newest position; empty if there is none. */
  public Optional<Duration> newestAge(ClockReading now) {
    return Optional.ofNullable(samples.peekLast()).map(sample -> sample.requestedAt.ageAt(now));
  }

  /** Returns the newest position; empty if there is none. */
  public Optional<LogPosition> newest() {
    return Optional.ofNullable(samples.peekLast()).map(Sample::position);
  }
}
