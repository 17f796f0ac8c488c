package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

  private static final long MILLI = 1_000_000L;

  /**
   * Runs rounds of full concurrency on a member whose latency grows with what exceeds its slots.
   */
  private static int settle(ConcurrencyLimit limit, int memberSlots, int rounds, long start) {
    long now = start;
    for (int round = 0; round < rounds; round++) {
      int started = 0;
      while (limit.tryStart()) {
        started++;
      }
      long latency = MILLI * Math.max(1, (started + memberSlots - 1) / memberSlots);
      now += Math.max(latency, 10 * MILLI);
      for (int i = 0; i < started; i++) {
        limit.end(latency, false, now);
      }
    }
    return limit.limit();
  }

  @Test
  void should_never_exceed_the_slots_times_the_factor() {
    ConcurrencyLimit limit = new ConcurrencyLimit(3);
    int started = 0;
    while (limit.tryStart()) {
      started++;
    }
    assertThat(started).isEqualTo(3 * ConcurrencyLimit.STATEMENTS_PER_SLOT);
  }

  @Test
  void should_stay_at_the_most_while_latency_is_flat() {
    ConcurrencyLimit limit = new ConcurrencyLimit(3);
    assertThat(settle(limit, 100, 200, 0)).isEqualTo(12);
  }

  // A member that became slow must get fewer statements, not a growing queue.
  @Test
  void should_fall_when_latency_rises_and_recover_afterwards() {
    ConcurrencyLimit limit = new ConcurrencyLimit(3);
    settle(limit, 100, 200, 0);
    int slow = settle(limit, 2, 60, 10_000 * MILLI);
    assertThat(slow).isLessThan(9);
    assertThat(slow).isAtLeast(1);
    assertThat(settle(limit, 100, 500, 20_000 * MILLI)).isEqualTo(12);
  }

  @Test
  void should_fall_on_drops_but_once_for_each_round() {
    ConcurrencyLimit limit = new ConcurrencyLimit(5);
    for (int i = 0; i < 20; i++) {
      limit.tryStart();
    }
    for (int i = 0; i < 10; i++) {
      limit.end(MILLI, true, 5 * MILLI);
    }
    assertThat(limit.limit()).isEqualTo(18);
  }

  @Test
  void should_never_fall_below_one() {
    ConcurrencyLimit limit = new ConcurrencyLimit(1);
    for (int i = 1; i < 200; i++) {
      assertThat(limit.tryStart()).isTrue();
      limit.end(MILLI, true, i * 100L * MILLI);
    }
    assertThat(limit.limit()).isEqualTo(1);
  }
}
