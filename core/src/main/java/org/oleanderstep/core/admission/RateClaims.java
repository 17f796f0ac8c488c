package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * The part of each organisation's rate that each VM may use. What nobody claims is free.
 *
 * <p>Kept as one object that VMs change under a condition, so that the parts of an organisation
 * never add up to more than one.
 *
 * @param parts by organisation and VM, each from 0 to 1
 * @param demand operations a second that callers ask of each VM, by organisation and VM
 */
public record RateClaims(
    Map<OrganisationId, Map<VmId, Double>> parts, Map<OrganisationId, Map<VmId, Double>> demand) {

  /** Nothing is claimed. */
  public static final RateClaims NONE = new RateClaims(Map.of(), Map.of());

  /** Copies the maps. */
  public RateClaims {
    parts = Map.copyOf(parts);
    demand = Map.copyOf(demand);
  }

  private static double get(
      Map<OrganisationId, Map<VmId, Double>> table, OrganisationId organisation, VmId vm) {
    return table.getOrDefault(organisation, Map.of()).getOrDefault(vm, 0.0);
  }

  /** Returns the part of a VM. */
  public double of(OrganisationId organisation, VmId vm) {
    return get(parts, organisation, vm);
  }

  /** Returns the operations a second that callers ask of a VM, as it last said. */
  double demandOf(OrganisationId organisation, VmId vm) {
    return get(demand, organisation, vm);
  }

  /** Returns the part that no VM claims. */
  public double free(OrganisationId organisation) {
    double claimed =
        parts.getOrDefault(organisation, Map.of()).values().stream()
            .mapToDouble(Double::doubleValue)
            .sum();
    return Math.max(0, 1 - claimed);
  }

  /** Returns the parts of one VM. */
  public Map<OrganisationId, Double> of(VmId vm) {
    Map<OrganisationId, Double> own = new HashMap<>();
    parts.forEach((organisation, vms) -> own.put(organisation, vms.getOrDefault(vm, 0.0)));
    return own;
  }

  /** Returns the parts of some VMs. */
  public Map<OrganisationId, Map<VmId, Double>> of(Set<VmId> vms) {
    return only(parts, parts.keySet(), vms);
  }

  /** Returns these claims with another part of one VM. */
  RateClaims withPart(OrganisationId organisation, VmId vm, double part) {
    return new RateClaims(replace(parts, organisation, vm, part), demand);
  }

  /** Returns these claims with another demand of one VM. */
  RateClaims withDemand(OrganisationId organisation, VmId vm, double asked) {
    return new RateClaims(parts, replace(demand, organisation, vm, asked));
  }

  /** Returns these claims with equal parts for some VMs, for a rate that nobody claims yet. */
  RateClaims withEqualParts(OrganisationId organisation, Set<VmId> vms) {
    RateClaims changed = this;
    for (VmId vm : vms) {
      changed = changed.withPart(organisation, vm, 1.0 / vms.size());
    }
    return changed;
  }

  /** A value of zero is left out. */
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

  /** Returns these claims without those of VMs and organisations that are gone. */
  RateClaims only(Set<OrganisationId> organisations, Set<VmId> vms) {
    return new RateClaims(only(parts, organisations, vms), only(demand, organisations, vms));
  }

  private static Map<OrganisationId, Map<VmId, Double>> only(
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
