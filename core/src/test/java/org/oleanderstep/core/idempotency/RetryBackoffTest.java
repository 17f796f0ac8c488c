package org.oleanderstep.core.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class RetryBackoffTest {

  // Guards against refused requests that come back together, and against delays without a limit.
  @Test
  void should_double_up_to_the_longest_delay_and_spread() {
    RetryBackoff backoff =
        new RetryBackoff(Duration.ofNanos(10), Duration.ofNanos(80), new SplittableRandom(7));
    for (int retry = 1; retry < 70; retry++) {
      long mean = Math.min(80, 10L << Math.min(3, retry - 1));
      long first = backoff.delayNanos(retry);
      assertThat(first).isAtLeast(mean / 2);
      assertThat(first).isAtMost(mean / 2 + mean);
    }
    long distinct = LongStream.range(0, 50).map(i -> backoff.delayNanos(4)).distinct().count();
    assertThat(distinct).isGreaterThan(10);
  }
}
