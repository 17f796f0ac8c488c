package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.oleanderstep.core.membership.RendezvousHash;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Decides which share of each organisation's rate a VM claims.
 *
 * <pre>{@code
 * RateClaims next = planner.plan(claims, demand, limits, new Vms(known, live));
 * }</pre>
 *
 * <p>Follows a load that is spread unevenly over the VMs and moves between them, also while the
 * demand exceeds the rate: each VM publishes the demand of its callers, and the rate is divided in
 * proportion to the demand. A rate whose burst is too small for that, or a rate shared by many VMs,
 * is divided equally among a few VMs, from which the others borrow. A VM changes only its own
 * claims, except that it removes the claims of VMs that are gone, and makes the first claims of all
 * holders of an equally divided rate. Immutable; it keeps no state between calls.
 */
public final class RateClaimPlanner {

  /** Factor applied to the measured demand. */
  private static final double HEADROOM_FACTOR = 1.2;

  /** Additional headroom, in standard deviations of the number of arrivals in a second. */
  private static final double HEADROOM_DEVIATIONS = 2;

  /** Fraction of an equal share that a VM is entitled to without any demand. */
  private static final double MIN_FRACTION_OF_EQUAL_SHARE = 0.35;

  /** Relative difference up to which a value is left unchanged, since each change costs a call. */
  private static final double RELATIVE_TOLERANCE = 0.2;

  private static final double MIN_CHANGE = 0.01;
  private static final double NEGLIGIBLE = 1e-6;

  /**
   * Fraction of its fair share below which a VM is underserved. While any VM is, all VMs adjust
   * even small differences.
   */
  private static final double UNDERSERVED_FRACTION = 0.5;

  /** Operations of burst that the share of a VM must cover to be useful. */
  private static final double MIN_BURST_PER_VM = 4;

  /** With a single holder, its loss would leave an organisation without any tokens. */
  private static final int MIN_HOLDERS = 2;

  /**
   * Maximum number of VMs among which a rate is divided by demand. Each VM that publishes its
   * demand changes the object that all VMs read, so more VMs than this borrow instead.
   */
  private static final int MAX_VMS_BY_DEMAND = 8;

  /**
   * The VMs that share the rates.
   *
   * @param known the VMs that may still use their claims
   * @param live the VMs among which rates are divided, a subset of the known ones
   */
  public record Vms(Set<VmId> known, Set<VmId> live) {

    /** Copies the sets. */
    public Vms {
      known = Set.copyOf(known);
      live = Set.copyOf(live);
    }
  }

  private final VmId self;
  private final boolean countAllHolders;

  /** Creates a planner of the claims of one VM; holders that do not report are replaced. */
  public RateClaimPlanner(VmId self) {
    this(self, false);
  }

  /**
   * Creates a planner of the claims of one VM.
   *
   * @param countAllHolders whether VMs that may still use their claims count as holders although
   *     they do not report: they still lend if only the store is out of their reach, and a part of
   *     a rate that is divided further serves fewer operations
   */
  public RateClaimPlanner(VmId self, boolean countAllHolders) {
    this.self = self;
    this.countAllHolders = countAllHolders;
  }

  /**
   * Returns the claims as this VM wants to change them; equal to the given claims if nothing
   * changes.
   *
   * @param demand operations a second that callers request from this VM, by organisation
   */
  public RateClaims plan(
      RateClaims claims,
      Map<OrganisationId, Double> demand,
      Map<OrganisationId, RateLimiter.Limit> limits,
      Vms vms) {
    RateClaims next = claims.restrictTo(limits.keySet(), vms.known());
    for (Map.Entry<OrganisationId, RateLimiter.Limit> each : limits.entrySet()) {
      double ownDemand = demand.getOrDefault(each.getKey(), 0.0);
      next = plan(next, each.getKey(), ownDemand, each.getValue(), vms.live());
    }
    return next;
  }

  /**
   * Returns the claims with equal shares of the rates of which no VM has claimed any; all other
   * claims stay as they are.
   *
   * @param live the VMs among which rates are divided
   */
  public RateClaims planFirstClaims(
      RateClaims claims, Map<OrganisationId, RateLimiter.Limit> limits, Set<VmId> live) {
    RateClaims next = claims;
    for (Map.Entry<OrganisationId, RateLimiter.Limit> each : limits.entrySet()) {
      OrganisationId organisation = each.getKey();
      if (claims.shares().getOrDefault(organisation, Map.of()).isEmpty()) {
        int holders = holders(each.getValue(), live.size());
        Set<VmId> chosen = chooseHolders(claims, organisation, live, holders);
        next = next.withEqualShares(organisation, chosen);
      }
    }
    return next;
  }

  private RateClaims plan(
      RateClaims claims,
      OrganisationId organisation,
      double ownDemand,
      RateLimiter.Limit limit,
      Set<VmId> live) {
    int holders = holders(limit, live.size());
    if (holders == live.size() && holders <= MAX_VMS_BY_DEMAND) {
      RateClaims published =
          claims.withDemand(
              organisation, self, demandToPublish(claims, organisation, ownDemand, limit));
      return adjustClaim(
          published, organisation, fairSharesByDemand(published, organisation, limit, live));
    }
    if (countAllHolders) {
      holders = Math.max(1, holders - holdersOtherThan(live, claims, organisation));
    }
    Set<VmId> chosen = chooseHolders(claims, organisation, live, holders);
    if (claims.shares().get(organisation).isEmpty()) {
      return claims.withEqualShares(organisation, chosen);
    }
    double equalShare = available(claims, organisation, live) / holders;
    return adjustClaim(
        claims, organisation, chosen.stream().collect(Collectors.toMap(v -> v, v -> equalShare)));
  }

  private static int holdersOtherThan(
      Set<VmId> live, RateClaims claims, OrganisationId organisation) {
    Set<VmId> others = new HashSet<>(claims.shares().get(organisation).keySet());
    others.removeAll(live);
    return others.size();
  }

  private static int holders(RateLimiter.Limit limit, int vms) {
    int covered = (int) (limit.burst() / MIN_BURST_PER_VM);
    int spread = limit.burst() >= MIN_HOLDERS ? MIN_HOLDERS : 1;
    return Math.min(vms, Math.max(spread, covered));
  }

  /**
   * Chooses the holders by rendezvous hashing, so that every VM chooses the same ones. The present
   * holders come first: if a new VM displaced some of them, each of the organisations would change
   * its claims whenever the fleet grows, and all VMs would write the same object at once.
   */
  private static Set<VmId> chooseHolders(
      RateClaims claims, OrganisationId organisation, Set<VmId> live, int holders) {
    Set<VmId> present = claims.holders(organisation, live);
    Set<VmId> chosen = new HashSet<>(first(organisation, present, holders));
    if (chosen.size() < holders) {
      Set<VmId> others = new HashSet<>(live);
      others.removeAll(chosen);
      chosen.addAll(first(organisation, others, holders - chosen.size()));
    }
    return chosen;
  }

  private static List<VmId> first(OrganisationId organisation, Set<VmId> vms, int count) {
    return RendezvousHash.first(organisation.name(), vms, VmId::name, count);
  }

  /** Returns the demand to publish: the published one unless the difference is worth a call. */
  private double demandToPublish(
      RateClaims claims, OrganisationId organisation, double ownDemand, RateLimiter.Limit limit) {
    double published = claims.demandOf(organisation, self);
    double difference = Math.abs(withHeadroom(ownDemand) - withHeadroom(published));
    double tolerance =
        Math.max(limit.ratePerSecond() * MIN_CHANGE, withHeadroom(published) * RELATIVE_TOLERANCE);
    return difference > tolerance ? ownDemand : published;
  }

  private RateClaims adjustClaim(
      RateClaims claims, OrganisationId organisation, Map<VmId, Double> fairShares) {
    double held = claims.claimedBy(organisation, self);
    double attainable =
        Math.min(fairShares.getOrDefault(self, 0.0), held + claims.unclaimed(organisation));
    // An underserved VM can only gain what the others give up, so they must not ignore small
    // differences.
    boolean anyUnderserved =
        fairShares.entrySet().stream()
            .anyMatch(
                each ->
                    claims.claimedBy(organisation, each.getKey())
                        < each.getValue() * UNDERSERVED_FRACTION);
    double tolerance =
        anyUnderserved ? NEGLIGIBLE : Math.max(MIN_CHANGE, held * RELATIVE_TOLERANCE);
    boolean changed = Math.abs(attainable - held) > tolerance;
    return changed ? claims.withShare(organisation, self, attainable) : claims;
  }

  private static Map<VmId, Double> fairSharesByDemand(
      RateClaims claims, OrganisationId organisation, RateLimiter.Limit limit, Set<VmId> live) {
    Map<VmId, Double> weights = new HashMap<>();
    live.forEach(vm -> weights.put(vm, weight(claims.demandOf(organisation, vm), limit, live)));
    double total = weights.values().stream().mapToDouble(Double::doubleValue).sum();
    double available = available(claims, organisation, live);
    weights.replaceAll((vm, weight) -> available * weight / total);
    return weights;
  }

  /** Returns the share that is left by the claims of VMs that are not live. */
  private static double available(RateClaims claims, OrganisationId organisation, Set<VmId> live) {
    double available = claims.unclaimed(organisation);
    for (VmId vm : live) {
      available += claims.claimedBy(organisation, vm);
    }
    return Math.min(1, available);
  }

  private static double weight(double vmDemand, RateLimiter.Limit limit, Set<VmId> live) {
    double min = MIN_FRACTION_OF_EQUAL_SHARE * limit.ratePerSecond() / live.size();
    return Math.max(Math.max(min, Double.MIN_NORMAL), withHeadroom(vmDemand));
  }

  private static double withHeadroom(double vmDemand) {
    return vmDemand * HEADROOM_FACTOR + HEADROOM_DEVIATIONS * Math.sqrt(vmDemand);
  }
}
