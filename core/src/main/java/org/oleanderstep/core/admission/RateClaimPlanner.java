package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
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
 * in proportion to that. A VM changes only its own claims, except for those of VMs that are gone.
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
    RateClaims valid = claims.only(limits.keySet(), vms.known());
    Map<OrganisationId, Double> own = new HashMap<>();
    Map<OrganisationId, Double> stated = new HashMap<>();
    limits.forEach(
        (organisation, limit) -> {
          double asked = state(valid, organisation, demand, limit);
          stated.put(organisation, asked);
          double due = due(valid, organisation, asked, limit, vms.live());
          own.put(organisation, claim(valid, organisation, due));
        });
    return valid.with(self, own, stated);
  }

  /** Returns the demand to publish; a small difference to the published one is not worth a call. */
  private double state(
      RateClaims claims,
      OrganisationId organisation,
      Map<OrganisationId, Double> demand,
      RateShares.Limit limit) {
    double asked = demand.getOrDefault(organisation, 0.0);
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

  /** Returns the part that this VM is due of what VMs that are not live leave over. */
  private double due(
      RateClaims claims,
      OrganisationId organisation,
      double asked,
      RateShares.Limit limit,
      Set<VmId> live) {
    double all = 0;
    double available = claims.free(organisation);
    for (VmId vm : live) {
      all += weight(vm.equals(self) ? asked : claims.demandOf(organisation, vm), limit, live);
      available += claims.of(organisation, vm);
    }
    return Math.min(1, available) * weight(asked, limit, live) / all;
  }

  private static double weight(double asked, RateShares.Limit limit, Set<VmId> live) {
    double least = LEAST_OF_EQUAL_SHARE * limit.ratePerSecond() / live.size();
    return Math.max(Math.max(least, Double.MIN_NORMAL), room(asked));
  }

  private static double room(double asked) {
    return asked * HEADROOM + DEVIATIONS * Math.sqrt(asked);
  }
}
