package org.oleanderstep.gateway.failover;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.gateway.FakeClock;

class PromotionLeaseTest {

  private static final VmId SELF = new VmId("self");
  private static final VmId OTHER = new VmId("other");
  private static final Duration LEASE = Duration.ofSeconds(3);
  private static final Duration OPEN_LEASE =
      PromotionLease.LATE_EXECUTION_LIMIT.plus(PromotionLease.MAX_SENDING_DELAY);

  private final FakeClock clock = new FakeClock();
  private final PromotionLease lease = new PromotionLease(SELF, LEASE, clock);

  private static PromotionLease.Order order(VmId vm, long token, boolean open) {
    return new PromotionLease.Order(vm, token, open);
  }

  private void store(PromotionLease.Order order) {
    lease.onStored(order, clock.read().wallClockMillis());
  }

  @Test
  void should_not_wait_when_nobody_has_requested_a_promotion() {
    assertThat(lease.remaining()).isEqualTo(Duration.ZERO);
  }

  @Test
  void should_not_wait_for_its_own_requests() {
    store(order(SELF, 1, true));

    assertThat(lease.remaining()).isEqualTo(Duration.ZERO);
  }

  @Test
  void should_wait_for_the_lease_after_the_response_to_another_vm() {
    store(order(OTHER, 1, true));
    clock.advance(Duration.ofSeconds(1));
    store(order(OTHER, 1, false));

    assertThat(lease.remaining()).isEqualTo(LEASE);
    clock.advance(LEASE);
    assertThat(lease.remaining()).isEqualTo(Duration.ZERO);
  }

  @Test
  void should_wait_as_long_as_a_request_without_a_response_may_be_carried_out() {
    store(order(OTHER, 1, true));

    clock.advance(OPEN_LEASE.minusMillis(1));
    assertThat(lease.remaining()).isEqualTo(Duration.ofMillis(1));
    clock.advance(Duration.ofMillis(1));
    assertThat(lease.remaining()).isEqualTo(Duration.ZERO);
  }

  // The request of another VM may be carried out after this VM was suspended.
  @Test
  void should_not_count_the_time_for_which_it_was_suspended() {
    store(order(OTHER, 1, true));

    clock.suspend(Duration.ofSeconds(30));

    assertThat(lease.remaining()).isEqualTo(OPEN_LEASE);
  }

  // Each heartbeat of a watch lists the same record again.
  @Test
  void should_not_start_again_when_it_learns_of_the_same_request_again() {
    store(order(OTHER, 1, true));
    clock.advance(Duration.ofSeconds(5));
    store(order(OTHER, 1, true));
    lease.onTold(order(OTHER, 1, true));

    assertThat(lease.remaining()).isEqualTo(OPEN_LEASE.minusSeconds(5));
  }

  // A holder without the store sends several requests with the same token.
  @Test
  void should_start_again_when_a_vm_announces_another_request() {
    store(order(OTHER, 1, false));
    clock.advance(Duration.ofSeconds(10));

    lease.onAnnounced(order(OTHER, 1, true));

    assertThat(lease.remaining()).isEqualTo(OPEN_LEASE);
    store(order(OTHER, 1, false));
    assertThat(lease.remaining()).isEqualTo(OPEN_LEASE);
    lease.onAnnounced(order(OTHER, 1, false));
    assertThat(lease.remaining()).isEqualTo(LEASE);
  }

  @Test
  void should_learn_of_a_request_from_a_third_vm() {
    lease.onTold(order(OTHER, 4, true));

    assertThat(lease.remaining()).isEqualTo(OPEN_LEASE);
    assertThat(lease.isNewest(3)).isFalse();
    assertThat(lease.isNewest(4)).isTrue();
  }

  // A store that was restored from an older copy returns an earlier record.
  @Test
  void should_not_return_to_an_earlier_request() {
    store(order(OTHER, 4, true));

    store(order(SELF, 3, false));
    lease.onTold(order(SELF, 3, false));
    lease.onAnnounced(order(SELF, 3, false));

    assertThat(lease.remaining()).isEqualTo(OPEN_LEASE);
  }

  // A process that starts finds the record of a request that was made long ago.
  @Test
  void should_not_wait_for_a_record_that_is_older_than_any_error_of_a_clock() {
    long now = clock.read().wallClockMillis();
    lease.onStored(order(OTHER, 1, true), now - Duration.ofSeconds(61).toMillis());

    assertThat(lease.remaining()).isEqualTo(Duration.ZERO);
  }

  @Test
  void should_wait_for_a_record_whose_clock_may_be_off_by_seconds() {
    long now = clock.read().wallClockMillis();
    lease.onStored(order(OTHER, 1, true), now - Duration.ofSeconds(20).toMillis());

    assertThat(lease.remaining()).isEqualTo(OPEN_LEASE);
  }
}
