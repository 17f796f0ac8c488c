package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

class RateClaimPlannerTest {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final double RATE = 100;
  private static final Map<OrganisationId, RateLimiter.Limit> LIMITS =
      Map.of(SHOP, new RateLimiter.Limit(RATE, RATE));
  private static final List<VmId> VMS =
      List.of(new VmId("a"), new VmId("b"), new VmId("c"), new VmId("d"), new VmId("e"));
  private static final Set<VmId> ALL = new LinkedHashSet<>(VMS);
  private static final double TOLERANCE = 1e-9;

  private RateClaims claims = RateClaims.NONE;

  /** Lets each VM plan in turn, for a number of rounds. */
  private void planRounds(int count, Map<VmId, Double> demand) {
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

  private double share(int vm) {
    return claims.claimedBy(SHOP, VMS.get(vm));
  }

  private double total() {
    return VMS.stream().mapToDouble(vm -> claims.claimedBy(SHOP, vm)).sum();
  }

  // Guards against refusals in the first second of traffic, before any demand is measured.
  @Test
  void should_claim_nearly_equal_shares_without_demand() {
    planRounds(3, Map.of());

    for (int i = 0; i < VMS.size(); i++) {
      assertThat(share(i)).isAtLeast(0.8 / VMS.size());
    }
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // Most callers of an organisation reach one VM. Equal shares would refuse two thirds of them.
  @Test
  void should_follow_a_demand_that_is_on_one_vm() {
    planRounds(3, Map.of());

    planRounds(4, Map.of(VMS.get(1), 60.0));

    assertThat(share(1) * RATE).isAtLeast(60.0);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // Callers move from one failure domain to another.
  @Test
  void should_follow_a_demand_that_moves() {
    planRounds(5, Map.of(VMS.get(1), 60.0));

    planRounds(6, Map.of(VMS.get(3), 60.0));

    assertThat(share(3) * RATE).isAtLeast(60.0);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // Guards against totals over the limit when the demand is many times the rate.
  @Test
  void should_never_claim_more_than_the_whole_rate() {
    Map<VmId, Double> demand = new HashMap<>();
    VMS.forEach(vm -> demand.put(vm, 500.0));

    for (int i = 0; i < 20; i++) {
      planRounds(1, demand);
      assertThat(total()).isAtMost(1 + TOLERANCE);
    }
  }

  // A VM that joins during an overload must get a share.
  @Test
  void should_give_a_share_to_a_vm_without_a_claim() {
    Set<VmId> four = new LinkedHashSet<>(VMS.subList(0, 4));
    for (int i = 0; i < 5; i++) {
      four.forEach(vm -> plan(vm, 500.0, four));
    }
    assertThat(total()).isWithin(0.02).of(1.0);

    Map<VmId, Double> demand = new HashMap<>();
    VMS.forEach(vm -> demand.put(vm, 500.0));
    planRounds(10, demand);

    assertThat(share(4)).isGreaterThan(0.03);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // After a VM is replaced, the whole rate is claimed, and the others need less than their claims.
  @Test
  void should_lower_unused_claims_while_a_vm_has_none() {
    List<VmId> four = VMS.subList(0, 4);
    Map<VmId, Double> equal = new HashMap<>();
    four.forEach(vm -> equal.put(vm, 0.25));
    claims = new RateClaims(Map.of(SHOP, equal), Map.of());

    planRounds(3, Map.of(VMS.get(4), 60.0));

    assertThat(share(4) * RATE).isAtLeast(60.0);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // Every VM would claim some headroom, and one VM has half of the callers. Equal shares would
  // refuse half of those while the other VMs leave most of their shares unused.
  @Test
  void should_divide_by_demand_while_nothing_is_unclaimed() {
    Map<VmId, Double> demand = new HashMap<>();
    VMS.forEach(vm -> demand.put(vm, 8.0));
    demand.put(VMS.get(1), 40.0);
    planRounds(3, Map.of());

    planRounds(6, demand);

    assertThat(share(1) * RATE).isAtLeast(42.0);
    for (int other : new int[] {0, 2, 3, 4}) {
      assertThat(share(other) * RATE).isAtLeast(8.0);
    }
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  // A VM that is not live may still use its claims; the rest is divided among the live VMs.
  @Test
  void should_divide_the_rest_among_live_vms_when_a_vm_is_lost() {
    planRounds(3, Map.of());
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

    assertThat(share(4)).isWithin(TOLERANCE).of(0.2);
    assertThat(share(0) * RATE).isAtLeast(50.0);
    assertThat(total()).isAtMost(1 + TOLERANCE);
  }

  @Test
  void should_free_the_claims_of_vms_that_are_gone() {
    planRounds(3, Map.of());

    plan(VMS.get(0), 90.0, Set.of(VMS.get(0), VMS.get(1)));

    assertThat(claims.claimedBy(SHOP, VMS.get(4))).isEqualTo(0.0);
    assertThat(share(0) * RATE).isAtLeast(75.0);
  }

  // Each change costs a call to the platform.
  @Test
  void should_not_change_claims_for_small_variations() {
    Map<VmId, Double> demand = new HashMap<>();
    VMS.forEach(vm -> demand.put(vm, 12.0));
    planRounds(5, demand);
    RateClaims previous = claims;

    VMS.forEach(vm -> demand.put(vm, 13.0));
    planRounds(1, demand);

    assertThat(claims).isEqualTo(previous);
  }

  // Guards against shares too small to hold the token of one operation, as with many VMs.
  @Test
  void should_divide_a_small_rate_over_few_vms() {
    Map<OrganisationId, RateLimiter.Limit> small = Map.of(SHOP, new RateLimiter.Limit(10, 9));

    for (VmId vm : VMS) {
      claims =
          new RateClaimPlanner(vm)
              .plan(claims, Map.of(SHOP, 2.0), small, new RateClaimPlanner.Vms(ALL, ALL));
    }

    assertThat(VMS.stream().filter(vm -> claims.claimedBy(SHOP, vm) > 0).count()).isEqualTo(2);
    assertThat(total()).isWithin(TOLERANCE).of(1);
  }

  // Otherwise the loss of one VM would leave the organisation without tokens until its claims
  // expire.
  @Test
  void should_divide_a_rate_over_two_vms_even_if_its_burst_is_very_small() {
    Map<OrganisationId, RateLimiter.Limit> small = Map.of(SHOP, new RateLimiter.Limit(5, 5));

    claims =
        new RateClaimPlanner(VMS.get(0))
            .plan(claims, Map.of(), small, new RateClaimPlanner.Vms(ALL, ALL));

    assertThat(VMS.stream().filter(vm -> claims.claimedBy(SHOP, vm) > 0).count()).isEqualTo(2);
  }

  // With many VMs, a change by each of them would cost as many calls, so one write must suffice.
  @Test
  void should_not_change_equal_shares_once_they_are_claimed() {
    Set<VmId> many = new LinkedHashSet<>();
    for (int i = 0; i < 30; i++) {
      many.add(new VmId("vm-" + i));
    }
    plan(VMS.get(0), 10, many);
    RateClaims first = claims;

    many.forEach(vm -> plan(vm, 30, many));

    assertThat(claims).isEqualTo(first);
  }

  // When a VM that holds a share is removed, the next one in the order of the hash replaces it.
  @Test
  void should_move_the_share_of_a_small_rate_when_a_vm_is_gone() {
    Map<OrganisationId, RateLimiter.Limit> small = Map.of(SHOP, new RateLimiter.Limit(10, 9));
    RateClaimPlanner.Vms all = new RateClaimPlanner.Vms(ALL, ALL);
    claims = new RateClaimPlanner(VMS.get(0)).plan(claims, Map.of(), small, all);
    VmId gone = VMS.stream().filter(vm -> claims.claimedBy(SHOP, vm) > 0).findFirst().orElseThrow();
    Set<VmId> remaining = new LinkedHashSet<>(VMS);
    remaining.remove(gone);

    for (VmId vm : remaining) {
      claims =
          new RateClaimPlanner(vm)
              .plan(claims, Map.of(), small, new RateClaimPlanner.Vms(remaining, remaining));
    }

    assertThat(remaining.stream().mapToDouble(vm -> claims.claimedBy(SHOP, vm)).sum())
        .isWithin(TOLERANCE)
        .of(1);
    assertThat(remaining.stream().filter(vm -> claims.claimedBy(SHOP, vm) > 0).count())
        .isEqualTo(2);
  }

  // A rate of which a holder can't reach the store must not be divided further: its parts would
  // often be below the token of one operation.
  @Test
  void should_not_replace_a_holder_that_still_lends() {
    Map<OrganisationId, RateLimiter.Limit> low = Map.of(SHOP, new RateLimiter.Limit(4, 8));
    claims =
        new RateClaimPlanner(VMS.get(0))
            .plan(claims, Map.of(), low, new RateClaimPlanner.Vms(ALL, ALL));
    RateClaims before = claims;
    Set<VmId> live = new LinkedHashSet<>(VMS);
    live.remove(claims.shares().get(SHOP).keySet().iterator().next());

    for (VmId vm : live) {
      claims =
          new RateClaimPlanner(vm, true)
              .plan(claims, Map.of(), low, new RateClaimPlanner.Vms(ALL, live));
    }

    assertThat(claims.shares()).isEqualTo(before.shares());
  }

  // If a new VM displaced holders, every VM of a growing fleet would change the claims at the same
  // moment, and nearly all of these conditional writes would conflict.
  @Test
  void should_keep_the_holders_of_a_rate_when_vms_are_added() {
    List<VmId> vms = IntStream.range(0, 38).mapToObj(i -> new VmId("vm-" + i)).toList();
    Set<VmId> first = Set.copyOf(vms.subList(0, 18));
    Set<VmId> all = Set.copyOf(vms);
    Map<OrganisationId, RateLimiter.Limit> limits = new HashMap<>();
    IntStream.range(0, 90)
        .forEach(i -> limits.put(new OrganisationId("o" + i), new RateLimiter.Limit(8, 12)));
    claims =
        new RateClaimPlanner(vms.get(0))
            .plan(claims, Map.of(), limits, new RateClaimPlanner.Vms(first, first));

    for (VmId vm : vms) {
      RateClaims next =
          new RateClaimPlanner(vm)
              .plan(claims, Map.of(), limits, new RateClaimPlanner.Vms(all, all));
      assertWithMessage(vm.name()).that(next.equals(claims)).isTrue();
    }
  }

  // A lower limit must not be spread over more VMs than can use their part of it.
  @Test
  void should_divide_a_lowered_rate_over_fewer_vms() {
    Map<OrganisationId, RateLimiter.Limit> high = Map.of(SHOP, new RateLimiter.Limit(8, 16));
    Map<OrganisationId, RateLimiter.Limit> low = Map.of(SHOP, new RateLimiter.Limit(4, 8));
    RateClaimPlanner.Vms vms = new RateClaimPlanner.Vms(ALL, ALL);
    claims = new RateClaimPlanner(VMS.get(0)).plan(claims, Map.of(), high, vms);
    assertThat(claims.shares().get(SHOP)).hasSize(4);

    for (int round = 0; round < 2; round++) {
      for (VmId vm : VMS) {
        claims = new RateClaimPlanner(vm).plan(claims, Map.of(), low, vms);
      }
    }

    assertThat(claims.shares().get(SHOP)).hasSize(2);
    assertThat(total()).isWithin(TOLERANCE).of(1);
  }
}
