package org.oleanderstep.core.admission;

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
  private static final double TOLERATED_DIFFERENCE = 0.12;

  private static final double SMALLEST_CHANGE = 0.01;

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
      double stated = state(claims, organisation, asked, limit);
      double due = dueByDemand(claims, organisation, stated, limit, live);
      return claims
          .withDemand(organisation, self, stated)
          .withPart(organisation, self, claim(claims, organisation, due));
    }
    Set<VmId> chosen = choose(organisation, live, holders);
    if (claims.parts().get(organisation).isEmpty()) {
      return claims.withEqualParts(organisation, chosen);
    }
    double due = chosen.contains(self) ? available(claims, organisation, live) / holders : 0;
    return claims.withPart(organisation, self, claim(claims, organisation, due));
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

  private double claim(RateClaims claims, OrganisationId organisation, double due) {
    double held = claims.of(organisation, self);
    double possible = Math.min(due, held + claims.free(organisation));
    double tolerated = Math.max(SMALLEST_CHANGE, held * TOLERATED_DIFFERENCE);
    return Math.abs(possible - held) > tolerated ? possible : held;
  }

  private double dueByDemand(
      RateClaims claims,
      OrganisationId organisation,
      double asked,
      RateShares.Limit limit,
      Set<VmId> live) {
    double all = 0;
    for (VmId vm : live) {
      all += weight(vm.equals(self) ? asked : claims.demandOf(organisation, vm), limit, live);
    }
    return available(claims, organisation, live) * weight(asked, limit, live) / all;
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
