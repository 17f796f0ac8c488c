package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.membership.VmList;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

class ShareTablePlannerTest {

  private static VmList list(long version, String... names) {
    Set<VmId> live = new HashSet<>();
    Arrays.stream(names).map(VmId::new).forEach(live::add);
    return new VmList(version, live, Set.of());
  }

  private static int slots(ShareTable table, String vm) {
    return table.slotsOf(new VmId(vm));
  }

  private final ShareTable first = ShareTablePlanner.first(list(7, "a", "b", "c"), "p1");

  @Test
  void should_divide_the_first_table_evenly() {
    assertThat(slots(first, "a")).isEqualTo(4);
    assertThat(slots(first, "b")).isEqualTo(4);
    assertThat(slots(first, "c")).isEqualTo(4);
    assertThat(first.shareOf(new VmId("a"))).isWithin(1e-12).of(1.0 / 3);
  }

  @Test
  void should_reject_a_list_without_live_vms() {
    assertThrows(IllegalArgumentException.class, () -> ShareTablePlanner.first(list(1), "p1"));
  }

  // A VM that is on the list may be running, if paused or partitioned, and still use its share.
  @Test
  void should_move_only_slots_of_vms_that_are_gone() {
    ShareTable next = ShareTablePlanner.next(first, list(8, "a", "b", "d"), "p2").orElseThrow();
    assertThat(next.version()).isEqualTo(2);
    assertThat(slots(next, "a")).isEqualTo(4);
    assertThat(slots(next, "b")).isEqualTo(4);
    assertThat(slots(next, "d")).isEqualTo(4);
    for (int index = 0; index < first.slots().size(); index++) {
      boolean kept = !first.slots().get(index).holder().name().equals("c");
      assertThat(next.slots().get(index).equals(first.slots().get(index))).isEqualTo(kept);
    }
  }

  @Test
  void should_keep_slots_of_leaving_vms_but_assign_them_no_more() {
    VmList leaving = new VmList(8, Set.of(new VmId("a")), Set.of(new VmId("b")));
    ShareTable next = ShareTablePlanner.next(first, leaving, "p2").orElseThrow();
    assertThat(slots(next, "a")).isEqualTo(8);
    assertThat(slots(next, "b")).isEqualTo(4);
  }

  @Test
  void should_plan_nothing_while_all_holders_are_listed() {
    assertThat(ShareTablePlanner.next(first, list(8, "a", "b", "c", "d"), "p2")).isEmpty();
  }

  // An older list lacks VMs that started later, and would move their slots while they are running.
  @Test
  void should_not_plan_with_a_list_that_is_older_than_the_table() {
    ShareTable next = ShareTablePlanner.next(first, list(8, "a", "b", "d"), "p2").orElseThrow();
    assertThat(ShareTablePlanner.next(next, list(7, "a", "b", "c"), "p3")).isEmpty();
    assertThat(ShareTablePlanner.receiverOfSurplus(next, list(7, "a"), new VmId("b"))).isEmpty();
  }

  @Test
  void should_hand_slots_over_until_they_are_even() {
    VmList extended = list(8, "a", "b", "c", "d");
    ShareTable table = first;
    int moves = 0;
    for (boolean moved = true; moved; ) {
      moved = false;
      for (String name : new String[] {"a", "b", "c", "d"}) {
        VmId donor = new VmId(name);
        var receiver = ShareTablePlanner.receiverOfSurplus(table, extended, donor);
        if (receiver.isPresent()) {
          int slot = 0;
          while (!table.slots().get(slot).holder().equals(donor)) {
            slot++;
          }
          table = ShareTablePlanner.handOver(table, extended, slot, receiver.get(), "p");
          moves++;
          moved = true;
        }
      }
    }
    assertThat(moves).isEqualTo(3);
    assertThat(slots(table, "d")).isEqualTo(3);
  }

  // A home that moves between two running VMs would double the rate until both have adopted it.
  @Test
  void should_keep_the_home_of_an_organisation_while_its_holder_is_listed() {
    ShareTable next =
        ShareTablePlanner.next(first, list(8, "a", "b", "d", "e"), "p2").orElseThrow();
    for (int i = 0; i < 200; i++) {
      OrganisationId organisation = new OrganisationId("org-" + i);
      VmId before = first.slots().get(first.homeSlot(organisation)).holder();
      VmId after = next.slots().get(next.homeSlot(organisation)).holder();
      if (!before.name().equals("c")) {
        assertThat(after).isEqualTo(before);
      }
    }
  }

  @Test
  void should_spread_homes_over_the_vms() {
    for (String vm : new String[] {"a", "b", "c"}) {
      long homes = 0;
      for (int i = 0; i < 300; i++) {
        int slot = first.homeSlot(new OrganisationId("org-" + i));
        homes += first.slots().get(slot).holder().name().equals(vm) ? 1 : 0;
      }
      assertThat(homes).isGreaterThan(60);
    }
  }

  @Test
  void should_split_a_burst_of_two_requests_for_each_vm() {
    assertThat(first.isSplit(6)).isTrue();
    assertThat(first.isSplit(5.9)).isFalse();
  }
}
