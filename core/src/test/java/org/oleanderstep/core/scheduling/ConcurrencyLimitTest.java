package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

  private static final long MILLI = 1_000_000L;

  /**
   * Runs rounds at full concurrency against a member whose latency grows when the statements in
   * flight exceed its slots, and returns the resulting limit.
   */
  private static int runRounds(ConcurrencyLimit limit, int memberSlots, int rounds, long start) {
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
  void should_never_exceed_the_slots_times_the_statements_per_slot() {
    ConcurrencyLimit limit = new ConcurrencyLimit(3);
    int started = 0;
    while (limit.tryStart()) {
      started++;
    }
    assertThat(started).isEqualTo(3 * ConcurrencyLimit.STATEMENTS_PER_SLOT);
  }

  @Test
  void should_stay_at_the_maximum_while_latency_is_constant() {
    ConcurrencyLimit limit = new ConcurrencyLimit(3);
    assertThat(runRounds(limit, 100, 200, 0)).isEqualTo(12);
  }

  // A member that becomes slow must get fewer statements instead of a growing queue.
  @Test
  void should_fall_when_latency_rises_and_recover_afterwards() {
    ConcurrencyLimit limit = new ConcurrencyLimit(3);
    runRounds(limit, 100, 200, 0);
    int slow = runRounds(limit, 2, 60, 10_000 * MILLI);
    assertThat(slow).isLessThan(9);
    assertThat(slow).isAtLeast(1);
    assertThat(runRounds(limit, 100, 500, 20_000 * MILLI)).isEqualTo(12);
  }

  @Test
  void should_fall_once_for_each_round_with_dropped_statements() {
    ConcurrencyLimit limit = new ConcurrencyLimit(5);
    for (int i = 0; i < 20; i++) {
      limit.tryStart();
    }
    for (int i = 0; i < 10; i++) {
      limit.end(MILLI, true, 5 * MILLI);
    }
    assertThat(limit.limit()).isEqualTo(18);
  }

  // A process whose connections are fewer must notice a slow member before it would use the slots.
  @Test
  void should_follow_a_new_largest_limit() {
    ConcurrencyLimit limit = new ConcurrencyLimit(4);
    limit.updateMaxLimit(3);
    assertThat(limit.limit()).isEqualTo(3);
    limit.updateMaxLimit(6);
    assertThat(limit.limit()).isEqualTo(6);
  }

  @Test
  void should_start_what_cannot_wait_above_the_limit() {
    ConcurrencyLimit limit = new ConcurrencyLimit(1);
    limit.updateMaxLimit(1);
    assertThat(limit.tryStart()).isTrue();
    limit.start();
    assertThat(limit.inFlight()).isEqualTo(2);
    assertThat(limit.tryStart()).isFalse();
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
