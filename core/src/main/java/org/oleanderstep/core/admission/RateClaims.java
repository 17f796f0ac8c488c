package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * The share of each organisation's rate that each VM has claimed; the rest is unclaimed.
 *
 * <p>Stored as a single object that the VMs change by conditional updates, so that the shares of an
 * organisation never add up to more than one. If the store is restored from an older copy, that
 * holds only for the shares that were established since, see {@link RestoredClaims}. Immutable.
 *
 * @param shares shares by organisation and VM, each from 0 to 1
 * @param demand operations a second that callers request from each VM, by organisation and VM
 * @param eras by VM, the era of the store in which its shares were established, also of VMs that
 *     have none; empty if the claims were written by a version that knows no eras
 */
public record RateClaims(
    Map<OrganisationId, Map<VmId, Double>> shares,
    Map<OrganisationId, Map<VmId, Double>> demand,
    Map<VmId, Long> eras) {

  /** Claims in which no VM has claimed anything. */
  public static final RateClaims NONE = new RateClaims(Map.of(), Map.of());

  /** Copies the maps. */
  public RateClaims {
    shares = Map.copyOf(shares);
    demand = Map.copyOf(demand);
    eras = Map.copyOf(eras);
  }

  /** Creates claims without eras. */
  public RateClaims(
      Map<OrganisationId, Map<VmId, Double>> shares,
      Map<OrganisationId, Map<VmId, Double>> demand) {
    this(shares, demand, Map.of());
  }

  /** Returns whether the shares of a VM were established in an era. */
  public boolean isEstablished(VmId vm, long era) {
    return eras.isEmpty() || eras.getOrDefault(vm, Long.MIN_VALUE) >= era;
  }

  /** Returns a copy in which the shares of some VMs count as established in an era. */
  public RateClaims withEra(Set<VmId> vms, long era) {
    Map<VmId, Long> changed = new HashMap<>(eras);
    vms.forEach(vm -> changed.put(vm, era));
    return new RateClaims(shares, demand, changed);
  }

  /**
   * Returns a copy that names VMs which may use shares that they claimed before an era, although
   * these claims show none; VMs that are named already are left unchanged.
   */
  public RateClaims withUnestablished(Set<VmId> vms, long era) {
    Map<VmId, Long> changed = new HashMap<>(eras);
    // Any earlier era tells that the shares are not established in this one.
    vms.forEach(vm -> changed.putIfAbsent(vm, era - 1));
    return new RateClaims(shares, demand, changed);
  }

  /** Returns the VMs whose shares differ between these claims and others. */
  public Set<VmId> changedVms(RateClaims other) {
    Set<OrganisationId> organisations = new HashSet<>(shares.keySet());
    organisations.addAll(other.shares.keySet());
    Set<VmId> candidates = new HashSet<>(claimants());
    candidates.addAll(other.claimants());
    candidates.removeIf(
        vm ->
            organisations.stream()
                .allMatch(each -> claimedBy(each, vm) == other.claimedBy(each, vm)));
    return candidates;
  }

  private static double lookUp(
      Map<OrganisationId, Map<VmId, Double>> table, OrganisationId organisation, VmId vm) {
    return table.getOrDefault(organisation, Map.of()).getOrDefault(vm, 0.0);
  }

  /** Returns the share of an organisation's rate that a VM has claimed. */
  public double claimedBy(OrganisationId organisation, VmId vm) {
    return lookUp(shares, organisation, vm);
  }

  /** Returns the demand of an organisation that a VM last published, in operations a second. */
  double demandOf(OrganisationId organisation, VmId vm) {
    return lookUp(demand, organisation, vm);
  }

  /** Returns the share that no VM has claimed. */
  public double unclaimed(OrganisationId organisation) {
    double claimed =
        shares.getOrDefault(organisation, Map.of()).values().stream()
            .mapToDouble(Double::doubleValue)
            .sum();
    return Math.max(0, 1 - claimed);
  }

  /** Returns the shares that one VM has claimed. */
  public Map<OrganisationId, Double> claimedBy(VmId vm) {
    Map<OrganisationId, Double> own = new HashMap<>();
    shares.forEach((organisation, vms) -> own.put(organisation, vms.getOrDefault(vm, 0.0)));
    return own;
  }

  /** Returns the VMs that have claimed a share of any rate. */
  public Set<VmId> claimants() {
    Set<VmId> claimants = new HashSet<>();
    shares.values().forEach(vms -> claimants.addAll(vms.keySet()));
    return claimants;
  }

  /** Returns the VMs among the given ones that have claimed a share of an organisation's rate. */
  Set<VmId> holders(OrganisationId organisation, Set<VmId> among) {
    Set<VmId> holders = new HashSet<>(shares.getOrDefault(organisation, Map.of()).keySet());
    holders.retainAll(among);
    return holders;
  }

  /** Returns the shares that some VMs have claimed. */
  public Map<OrganisationId, Map<VmId, Double>> claimedBy(Set<VmId> vms) {
    return restrictTo(shares, shares.keySet(), vms);
  }

  /** Returns a copy of these claims with another share of one VM. */
  RateClaims withShare(OrganisationId organisation, VmId vm, double share) {
    return new RateClaims(replace(shares, organisation, vm, share), demand, eras);
  }

  /** Returns a copy of these claims with another demand of one VM. */
  RateClaims withDemand(OrganisationId organisation, VmId vm, double operationsPerSecond) {
    return new RateClaims(shares, replace(demand, organisation, vm, operationsPerSecond), eras);
  }

  /** Returns a copy with equal shares for some VMs, for a rate that no VM has claimed yet. */
  RateClaims withEqualShares(OrganisationId organisation, Set<VmId> vms) {
    RateClaims changed = this;
    for (VmId vm : vms) {
      changed = changed.withShare(organisation, vm, 1.0 / vms.size());
    }
    return changed;
  }

  /** Returns a copy of a table with another value; a value of zero is removed. */
  private static Map<OrganisationId, Map<VmId, Double>> replace(
      Map<OrganisationId, Map<VmId, Double>> table,
      OrganisationId organisation,
      VmId vm,
      double value) {
    Map<VmId, Double> vms = new HashMap<>(table.getOrDefault(organisation, Map.of()));
    vms.remove(vm);
    if (value != 0) {
      vms.put(vm, value);
    }
    Map<OrganisationId, Map<VmId, Double>> changed = new HashMap<>(table);
    changed.put(organisation, vms);
    return changed;
  }

  /** Returns a copy that keeps only the given organisations and VMs. */
  RateClaims restrictTo(Set<OrganisationId> organisations, Set<VmId> vms) {
    Map<VmId, Long> keptEras = new HashMap<>(eras);
    keptEras.keySet().retainAll(vms);
    return new RateClaims(
        restrictTo(shares, organisations, vms), restrictTo(demand, organisations, vms), keptEras);
  }

  private static Map<OrganisationId, Map<VmId, Double>> restrictTo(
      Map<OrganisationId, Map<VmId, Double>> table,
      Set<OrganisationId> organisations,
      Set<VmId> vms) {
    Map<OrganisationId, Map<VmId, Double>> kept = new HashMap<>();
    for (OrganisationId organisation : organisations) {
      Map<VmId, Double> values = new HashMap<>(table.getOrDefault(organisation, Map.of()));
      values.keySet().retainAll(vms);
      kept.put(organisation, values);
    }
    return kept;
  }
}
