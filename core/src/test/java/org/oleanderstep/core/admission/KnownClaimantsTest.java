package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.VmId;

/** Two VMs must not use the same share because one has not heard of the other yet. */
final class KnownClaimantsTest {

  private static final Duration VALIDITY = Duration.ofMinutes(5);
  private static final VmId OLD = new VmId("vm-old");
  private static final VmId NEW = new VmId("vm-new");

  private final KnownClaimants claimants = new KnownClaimants(VALIDITY);

  private static ClockReading at(Duration time) {
    return new ClockReading(time.toNanos(), time.toMillis());
  }

  private static ClockReading start() {
    return at(Duration.ofHours(1));
  }

  private static ClockReading after(Duration time) {
    return at(Duration.ofHours(1).plus(time));
  }

  @Test
  void should_respect_a_vm_whose_report_has_not_arrived() {
    assertThat(claimants.update(Set.of(OLD), Set.of(OLD, NEW), start())).containsExactly(OLD, NEW);
  }

  @Test
  void should_free_the_claims_of_a_vm_whose_report_was_deleted() {
    claimants.update(Set.of(OLD, NEW), Set.of(OLD, NEW), start());
    assertThat(claimants.update(Set.of(OLD), Set.of(OLD, NEW), after(Duration.ofSeconds(1))))
        .containsExactly(OLD);
  }

  @Test
  void should_free_claims_without_a_report_that_can_no_longer_be_in_use() {
    claimants.update(Set.of(OLD), Set.of(OLD, NEW), start());
    assertThat(claimants.update(Set.of(OLD), Set.of(OLD, NEW), after(VALIDITY)))
        .containsExactly(OLD);
  }

  // A VM that gave its claims up and claims again starts a new period.
  @Test
  void should_measure_the_period_from_the_latest_claim() {
    claimants.update(Set.of(OLD), Set.of(OLD, NEW), start());
    claimants.update(Set.of(OLD), Set.of(OLD), after(Duration.ofMinutes(3)));
    claimants.update(Set.of(OLD), Set.of(OLD, NEW), after(Duration.ofMinutes(4)));
    assertThat(claimants.update(Set.of(OLD), Set.of(OLD, NEW), after(Duration.ofMinutes(6))))
        .containsExactly(OLD, NEW);
  }
}
