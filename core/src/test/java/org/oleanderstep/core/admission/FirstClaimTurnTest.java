package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.VmId;

/** VMs that start at the same moment must not all write, and none may wait for one that is gone. */
final class FirstClaimTurnTest {

  private static final List<VmId> VMS =
      IntStream.range(0, 100).mapToObj(i -> new VmId("vm-" + i)).toList();
  private static final ClockReading START = at(Duration.ofHours(1));

  private static ClockReading at(Duration time) {
    return new ClockReading(time.toNanos(), time.toMillis());
  }

  private static ClockReading afterStart(Duration time) {
    return at(Duration.ofHours(1).plus(time));
  }

  private static long vmsWhoseTurnHasCome(Optional<ClockReading> readAt, Duration time) {
    return VMS.stream()
        .map(vm -> new FirstClaimTurn(vm, START).until(VMS, readAt, afterStart(time)))
        .filter(left -> left.compareTo(Duration.ZERO) <= 0)
        .count();
  }

  @Test
  void should_let_one_vm_write_at_once_if_there_are_claims() {
    assertThat(vmsWhoseTurnHasCome(Optional.of(START), Duration.ZERO)).isEqualTo(1);
  }

  @Test
  void should_let_few_vms_follow_if_the_first_one_does_not_write() {
    assertThat(vmsWhoseTurnHasCome(Optional.of(START), Duration.ofMillis(20))).isAtMost(3);
  }

  @Test
  void should_let_every_vm_write_in_the_end() {
    assertThat(vmsWhoseTurnHasCome(Optional.of(START), Duration.ofMillis(400)))
        .isEqualTo(VMS.size());
  }

  // The VMs of a new deployment that are not known yet would get no share.
  @Test
  void should_wait_for_the_reports_of_other_vms_if_there_are_no_claims() {
    assertThat(vmsWhoseTurnHasCome(Optional.empty(), Duration.ofMillis(899))).isEqualTo(0);
    assertThat(vmsWhoseTurnHasCome(Optional.empty(), Duration.ofMillis(900))).isEqualTo(1);
  }
}
