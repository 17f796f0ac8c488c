package org.oleanderstep.gateway.target;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ReplyLatencyTest {

  private static final Duration MIN = Duration.ofMillis(450);
  private static final Duration MAX = Duration.ofMillis(1_200);

  private final ReplyLatency latency = new ReplyLatency(0);

  private static long millis(long count) {
    return Duration.ofMillis(count).toNanos();
  }

  private Duration timeoutAt(long millis) {
    return Duration.ofNanos(latency.timeoutNanos(MIN, MAX, millis(millis)));
  }

  @Test
  void should_use_the_minimum_for_a_member_that_replies_quickly() {
    latency.record(millis(40), millis(10));

    assertThat(timeoutAt(20)).isEqualTo(MIN);
  }

  @Test
  void should_wait_longer_for_a_slow_member() {
    latency.record(millis(400), millis(10));
    latency.record(millis(2), millis(20));

    assertThat(timeoutAt(30)).isEqualTo(Duration.ofMillis(800));
  }

  @Test
  void should_not_wait_longer_than_the_maximum() {
    latency.record(millis(5_000), millis(10));

    assertThat(timeoutAt(20)).isEqualTo(MAX);
  }

  // A primary that fails long after it was slow must be replaced as quickly as any other.
  @Test
  void should_forget_slow_replies_after_a_while() {
    latency.record(millis(400), millis(10));

    assertThat(timeoutAt(3_500)).isEqualTo(Duration.ofMillis(800));
    assertThat(timeoutAt(7_000)).isEqualTo(MIN);
  }

  @Test
  void should_forget_slow_replies_during_a_long_silence() {
    latency.record(millis(400), millis(10));

    assertThat(timeoutAt(60_000)).isEqualTo(MIN);
  }
}
