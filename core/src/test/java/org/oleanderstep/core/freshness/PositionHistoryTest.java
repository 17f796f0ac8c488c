package org.oleanderstep.core.freshness;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.position.LogPosition;

class PositionHistoryTest {

  private static final Duration MAX_AGE = Duration.ofSeconds(1);

  private final PositionHistory history = new PositionHistory();

  private static ClockReading at(long millis) {
    return at(millis, millis);
  }

  private static ClockReading at(long monotonicMillis, long wallClockMillis) {
    return new ClockReading(Duration.ofMillis(monotonicMillis).toNanos(), wallClockMillis);
  }

  // Guards against reads that require a newer replica than the route's bound.
  @Test
  void should_return_the_oldest_position_that_is_recent_enough() {
    history.add(at(0), new LogPosition(1, 10));
    history.add(at(500), new LogPosition(1, 20));
    history.add(at(1_000), new LogPosition(1, 30));

    assertThat(history.oldestWithin(MAX_AGE, at(1_200))).hasValue(new LogPosition(1, 20));
  }

  // Guards against reads that are staler than the route allows.
  @Test
  void should_return_nothing_when_every_position_is_too_old() {
    history.add(at(0), new LogPosition(1, 10));

    assertThat(history.oldestWithin(MAX_AGE, at(1_001))).isEmpty();
  }

  // The monotonic clock does not advance during a suspension.
  @Test
  void should_not_use_a_position_from_before_a_suspension() {
    history.add(at(0, 0), new LogPosition(1, 10));

    assertThat(history.oldestWithin(MAX_AGE, at(100, 4_100))).isEmpty();
  }

  // Setting the wall clock back must not make an old position look recent.
  @Test
  void should_use_the_monotonic_age_when_the_wall_clock_is_set_back() {
    history.add(at(0, 10_000), new LogPosition(1, 10));

    assertThat(history.oldestWithin(MAX_AGE, at(2_000, 9_000))).isEmpty();
  }

  // Entries of the old term beyond the start of the new one are rolled back on every member.
  @Test
  void should_drop_positions_of_an_earlier_term() {
    history.add(at(0), new LogPosition(1, 50));
    history.add(at(100), new LogPosition(2, 41));

    assertThat(history.oldestWithin(MAX_AGE, at(200))).hasValue(new LogPosition(2, 41));
  }

  // A delayed answer of a former primary must not bring its term back.
  @Test
  void should_ignore_a_position_of_an_earlier_term() {
    history.add(at(0), new LogPosition(2, 41));
    history.add(at(100), new LogPosition(1, 60));

    assertThat(history.newest()).hasValue(new LogPosition(2, 41));
  }

  @Test
  void should_report_how_long_ago_a_position_was_reached() {
    history.add(at(0), new LogPosition(1, 10));
    history.add(at(300), new LogPosition(1, 20));

    assertThat(history.timeSinceReached(new LogPosition(1, 15), at(500)))
        .isEqualTo(Duration.ofMillis(200));
    assertThat(history.timeSinceReached(new LogPosition(1, 25), at(500))).isEqualTo(Duration.ZERO);
  }
}
