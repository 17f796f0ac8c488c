package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class MemberOutageTest {

  private static final long MILLI = 1_000_000L;

  // Guards against requests that are held, or refused, at the wrong part of a promotion.
  @Test
  void should_expect_the_usual_time_then_a_little_more_then_nothing() {
    MemberOutage outage = new MemberOutage(0);
    outage.update(true, 0);
    assertThat(outage.remainingNanos(10_000 * MILLI)).isEqualTo(0);
    outage.update(false, 10_000 * MILLI);
    outage.update(false, 10_400 * MILLI);
    assertThat(outage.remainingNanos(10_400 * MILLI)).isEqualTo(600 * MILLI);
    assertThat(outage.remainingNanos(11_500 * MILLI)).isEqualTo(200 * MILLI);
    assertThat(outage.remainingNanos(12_001 * MILLI)).isGreaterThan(10_000 * MILLI);
  }
}
