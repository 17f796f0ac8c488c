package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

class RateClaimPlannerTest {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final double RATE = 100;
  private static final Map<OrganisationId, RateShares.Limit> LIMITS =
      Map.of(SHOP, new RateShares.Limit(RATE, RATE));
  private static final List<VmId> VMS =
      List.of(new VmId("a"), new VmId("b"), new VmId("c"), new VmId("d"), new VmId("e"));
  private static final Set<VmId> ALL = new LinkedHashSet<>(VMS);
  private static final double TOLERANCE = 1e-9;

  private RateClaims claims = RateClaims.NONE;

  /** Lets each VM plan in turn, some times over. */
  private void rounds(int count, Map<VmId, Double> demand) {
    for (int i = 0; i < count; i++) {
      for (VmId vm : VMS) {
        plan(vm, demand.getOrDefault(vm, 0.0), ALL);
      }
    }
  }

  private void plan(VmId vm, double demand, Set<VmId> vms) {
    claims =
        new RateClaimPlanner(vm)
            .plan(claims, Map.of(SHOP, demand), LIMITS, new RateClaimPlanner.Vms(vms, vms));
  }

  private double part(int vm) {
    return claims.of(SHOP, VMS.get(vm));
  }

  private double total() {
    return VMS.stream().mapToDouble(vm -> claims.of(SHOP, vm)).sum();
  }

  // Guards against refusals in the first second of traffic, before any demand is known.
  @Test
  void should_claim_nearly_equal_parts_without_demand() {
    rounds(3, Map.of());

    for (int i = 0; i < VMS.size(); i++) {
      assertThat(part(i)).isAtLeast(0.8 / VMS.size());
    }
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // The load: most callers of an organisation reach one VM. Equal parts would refuse two thirds.
  @Test
  void should_follow_a_demand_that_is_on_one_vm() {
    rounds(3, Map.of());

    rounds(4, Map.of(VMS.get(1), 60.0));

    assertThat(part(1) * RATE).isAtLeast(60.0);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // The load: callers move from one failure domain to another.
  @Test
  void should_follow_a_demand_that_moves() {
    rounds(5, Map.of(VMS.get(1), 60.0));

    rounds(6, Map.of(VMS.get(3), 60.0));

    assertThat(part(3) * RATE).isAtLeast(60.0);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // Guards against totals over the limit when one organisation asks for many times its rate.
  @Test
  void should_never_claim_more_than_the_whole_rate() {
    Map<VmId, Double> demand = new HashMap<>();
    VMS.forEach(vm -> demand.put(vm, 500.0));

    for (int i = 0; i < 20; i++) {
      rounds(1, demand);
      assertThat(total()).isAtMost(1 + TOLERANCE);
    }
  }

  // A VM that joins during an overload must get something.
  @Test
  void should_give_to_a_vm_without_a_claim() {
    Set<VmId> four = new LinkedHashSet<>(VMS.subList(0, 4));
    for (int i = 0; i < 5; i++) {
      four.forEach(vm -> plan(vm, 500.0, four));
    }
    assertThat(total()).isWithin(0.02).of(1.0);

    Map<VmId, Double> demand = new HashMap<>();
    VMS.forEach(vm -> demand.put(vm, 500.0));
    rounds(10, demand);

    assertThat(part(4)).isGreaterThan(0.03);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // The load: after a VM is replaced, nothing is free and the others ask for less than they hold.
  @Test
  void should_lower_unused_claims_while_a_vm_has_none() {
    List<VmId> four = VMS.subList(0, 4);
    Map<VmId, Double> equal = new HashMap<>();
    four.forEach(vm -> equal.put(vm, 0.25));
    claims = new RateClaims(Map.of(SHOP, equal), Map.of());

    rounds(3, Map.of(VMS.get(4), 60.0));

    assertThat(part(4) * RATE).isAtLeast(60.0);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // The load: every VM would like some room, and one has half of the callers. Equal parts refuse
  // half of them while the other VMs leave most of their parts unused.
  @Test
  void should_divide_by_demand_while_nothing_is_free() {
    Map<VmId, Double> demand = new HashMap<>();
    VMS.forEach(vm -> demand.put(vm, 8.0));
    demand.put(VMS.get(1), 40.0);
    rounds(3, Map.of());

    rounds(6, demand);

    assertThat(part(1) * RATE).isAtLeast(42.0);
    for (int other : new int[] {0, 2, 3, 4}) {
      assertThat(part(other) * RATE).isAtLeast(8.0);
    }
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // The claims of a lost VM can't be used by others yet; what is left is divided among the live.
  @Test
  void should_divide_what_a_lost_vm_leaves_over() {
    rounds(3, Map.of());
    Set<VmId> live = new LinkedHashSet<>(VMS.subList(0, 4));
    Map<VmId, Double> demand = Map.of(VMS.get(0), 60.0);
    for (int i = 0; i < 5; i++) {
      for (VmId vm : live) {
        claims =
            new RateClaimPlanner(vm)
                .plan(
                    claims,
                    Map.of(SHOP, demand.getOrDefault(vm, 5.0)),
                    LIMITS,
                    new RateClaimPlanner.Vms(ALL, live));
      }
    }

    assertThat(part(4)).isWithin(TOLERANCE).of(0.2);
    assertThat(part(0) * RATE).isAtLeast(50.0);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  @Test
  void should_free_the_claims_of_vms_that_are_gone() {
    rounds(3, Map.of());

    plan(VMS.get(0), 90.0, Set.of(VMS.get(0), VMS.get(1)));

    assertThat(claims.of(SHOP, VMS.get(4))).isEqualTo(0.0);
    assertThat(part(0) * RATE).isAtLeast(75.0);
  }

  // Each change costs a call to the platform.
  @Test
  void should_not_change_claims_for_small_variations() {
    Map<VmId, Double> demand = new HashMap<>();
    VMS.forEach(vm -> demand.put(vm, 12.0));
    rounds(5, demand);
    RateClaims settled = claims;

    VMS.forEach(vm -> demand.put(vm, 13.0));
    rounds(1, demand);

    assertThat(claims).isEqualTo(settled);
  }

  // Guards against parts too small to hold the token of one operation, as with many VMs.
  @Test
  void should_divide_a_small_rate_over_few_vms() {
    Map<OrganisationId, RateShares.Limit> small = Map.of(SHOP, new RateShares.Limit(10, 9));

    for (VmId vm : VMS) {
      claims =
          new RateClaimPlanner(vm)
              .plan(claims, Map.of(SHOP, 2.0), small, new RateClaimPlanner.Vms(ALL, ALL));
    }

    assertThat(VMS.stream().filter(vm -> claims.of(SHOP, vm) > 0).count()).isEqualTo(2);
    assertThat(total()).isWithin(TOLERANCE).of(1);
  }

  // With many VMs each change is a call of each of them, so one write must serve all.
  @Test
  void should_not_change_equal_parts_once_they_are_claimed() {
    Set<VmId> many = new LinkedHashSet<>();
    for (int i = 0; i < 30; i++) {
      many.add(new VmId("vm-" + i));
    }
    plan(VMS.get(0), 10, many);
    RateClaims first = claims;

    many.forEach(vm -> plan(vm, 30, many));

    assertThat(claims).isEqualTo(first);
  }

  // The VM that holds a part is removed; the next one in order takes its place.
  @Test
  void should_move_the_parts_of_a_small_rate_when_a_vm_is_gone() {
    Map<OrganisationId, RateShares.Limit> small = Map.of(SHOP, new RateShares.Limit(10, 9));
    RateClaimPlanner.Vms all = new RateClaimPlanner.Vms(ALL, ALL);
    claims = new RateClaimPlanner(VMS.get(0)).plan(claims, Map.of(), small, all);
    VmId gone = VMS.stream().filter(vm -> claims.of(SHOP, vm) > 0).findFirst().orElseThrow();
    Set<VmId> left = new LinkedHashSet<>(VMS);
    left.remove(gone);

    for (VmId vm : left) {
      claims =
          new RateClaimPlanner(vm)
              .plan(claims, Map.of(), small, new RateClaimPlanner.Vms(left, left));
    }

    assertThat(left.stream().mapToDouble(vm -> claims.of(SHOP, vm)).sum())
        .isWithin(TOLERANCE)
        .of(1);
    assertThat(left.stream().filter(vm -> claims.of(SHOP, vm) > 0).count()).isEqualTo(2);
  }
}
