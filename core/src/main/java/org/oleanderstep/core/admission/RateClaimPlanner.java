package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.oleanderstep.core.membership.RendezvousHash;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Decides which part of each organisation's rate a VM claims.
 *
 * <pre>{@code
 * RateClaims next = planner.plan(claims, demand, limits, new Vms(known, live));
 * }</pre>
 *
 * <p>Answers a load that is spread unevenly over the VMs and moves between them, also while callers
 * ask for more than the whole rate: each VM says what its callers ask for, and the rate is divided
 * in proportion to that. A rate that is too small for that, or one of many VMs, is divided equally
 * over a few VMs, from which the others borrow. A VM changes only its own claims, except for those
 * of VMs that are gone and for rates that nobody claims yet.
 */
public final class RateClaimPlanner {

  /** Room above the measured demand, and in standard deviations of arrivals in a second. */
  private static final double HEADROOM = 1.2;

  private static final double DEVIATIONS = 2;

  /** Part of an equal share that counts as wanted without any demand. */
  private static final double LEAST_OF_EQUAL_SHARE = 0.35;

  /** Part of a claim by which it may differ from its due part; each change costs a call. */
  private static final double TOLERATED_DIFFERENCE = 0.2;

  private static final double SMALLEST_CHANGE = 0.01;
  private static final double NEGLIGIBLE = 1e-6;

  /** Part of what is due below which a VM gets more at once, however small the differences are. */
  private static final double FAR_BELOW = 0.5;

  /** Operations of burst that a VM must be able to hold for a part to be of use. */
  private static final double LEAST_BURST = 4;

  /** Each VM that publishes its demand changes the object for all; more of them borrow instead. */
  private static final int MOST_VMS_BY_DEMAND = 8;

  /**
   * The VMs that share the rates.
   *
   * @param known those that may still use their claims
   * @param live those that take part in the division, a part of the known ones
   */
  public record Vms(Set<VmId> known, Set<VmId> live) {

    /** Copies the sets. */
    public Vms {
      known = Set.copyOf(known);
      live = Set.copyOf(live);
    }
  }

  private final VmId self;

  /** Creates the planner of a VM. */
  public RateClaimPlanner(VmId self) {
    this.self = self;
  }

  /**
   * Returns the claims that the VM wants; equal to those given if nothing is to change.
   *
   * @param demand operations a second that callers ask of this VM
   */
  public RateClaims plan(
      RateClaims claims,
      Map<OrganisationId, Double> demand,
      Map<OrganisationId, RateShares.Limit> limits,
      Vms vms) {
    RateClaims next = claims.only(limits.keySet(), vms.known());
    for (Map.Entry<OrganisationId, RateShares.Limit> each : limits.entrySet()) {
      double asked = demand.getOrDefault(each.getKey(), 0.0);
      next = plan(next, each.getKey(), asked, each.getValue(), vms.live());
    }
    return next;
  }

  private RateClaims plan(
      RateClaims claims,
      OrganisationId organisation,
      double asked,
      RateShares.Limit limit,
      Set<VmId> live) {
    int holders = holders(limit, live.size());
    if (holders == live.size() && holders <= MOST_VMS_BY_DEMAND) {
      RateClaims stated =
          claims.withDemand(organisation, self, state(claims, organisation, asked, limit));
      return claim(stated, organisation, duesByDemand(stated, organisation, limit, live));
    }
    Set<VmId> chosen = choose(organisation, live, holders);
    if (claims.parts().get(organisation).isEmpty()) {
      return claims.withEqualParts(organisation, chosen);
    }
    double due = available(claims, organisation, live) / holders;
    return claim(claims, organisation, chosen.stream().collect(Collectors.toMap(v -> v, v -> due)));
  }

  private static int holders(RateShares.Limit limit, int vms) {
    return (int) Math.max(1, Math.min(vms, limit.burst() / LEAST_BURST));
  }

  /** Every VM makes the same choice, and the loss of one VM changes only its own place. */
  private static Set<VmId> choose(OrganisationId organisation, Set<VmId> live, int holders) {
    return live.stream()
        .sorted(
            (a, b) ->
                Long.compareUnsigned(
                    RendezvousHash.weight(organisation.name(), b.name()),
                    RendezvousHash.weight(organisation.name(), a.name())))
        .limit(holders)
        .collect(Collectors.toSet());
  }

  /** Returns the demand to publish; a small difference to the published one is not worth a call. */
  private double state(
      RateClaims claims, OrganisationId organisation, double asked, RateShares.Limit limit) {
    double published = claims.demandOf(organisation, self);
    double difference = Math.abs(room(asked) - room(published));
    double tolerated =
        Math.max(limit.ratePerSecond() * SMALLEST_CHANGE, room(published) * TOLERATED_DIFFERENCE);
    return difference > tolerated ? asked : published;
  }

  private RateClaims claim(RateClaims claims, OrganisationId organisation, Map<VmId, Double> dues) {
    double held = claims.of(organisation, self);
    double possible = Math.min(dues.getOrDefault(self, 0.0), held + claims.free(organisation));
    // A VM that has far too little can only get what the others give up.
    boolean anyFarBelow =
        dues.entrySet().stream()
            .anyMatch(each -> claims.of(organisation, each.getKey()) < each.getValue() * FAR_BELOW);
    double tolerated =
        anyFarBelow ? NEGLIGIBLE : Math.max(SMALLEST_CHANGE, held * TOLERATED_DIFFERENCE);
    boolean changed = Math.abs(possible - held) > tolerated;
    return changed ? claims.withPart(organisation, self, possible) : claims;
  }

  private static Map<VmId, Double> duesByDemand(
      RateClaims claims, OrganisationId organisation, RateShares.Limit limit, Set<VmId> live) {
    Map<VmId, Double> weights = new HashMap<>();
    live.forEach(vm -> weights.put(vm, weight(claims.demandOf(organisation, vm), limit, live)));
    double all = weights.values().stream().mapToDouble(Double::doubleValue).sum();
    double available = available(claims, organisation, live);
    weights.replaceAll((vm, weight) -> available * weight / all);
    return weights;
  }

  /** Returns what VMs that are not live leave over. */
  private static double available(RateClaims claims, OrganisationId organisation, Set<VmId> live) {
    double available = claims.free(organisation);
    for (VmId vm : live) {
      available += claims.of(organisation, vm);
    }
    return Math.min(1, available);
  }

  private static double weight(double asked, RateShares.Limit limit, Set<VmId> live) {
    double least = LEAST_OF_EQUAL_SHARE * limit.ratePerSecond() / live.size();
    return Math.max(Math.max(least, Double.MIN_NORMAL), room(asked));
  }

  private static double room(double asked) {
    return asked * HEADROOM + DEVIATIONS * Math.sqrt(asked);
  }
}
