package org.oleanderstep.proxy.internal.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.routing.GroupView;

/**
 * The control state that traffic threads read; immutable and published by the control thread.
 *
 * @param vm VM of this proxy
 * @param instance random text for each start of the process
 * @param configuration configuration in force, empty until the first one is adopted
 * @param ready whether statements may be served
 * @param trusted whether the configuration may still be trusted
 * @param leaving whether the proxy is stopping and takes no new work
 * @param vms VMs in the share table, at least one; a member's connections are divided by it
 * @param groups what is known of each database group
 * @param incarnations incarnation last reported by each member; pooled connections are bound to it,
 *     and a member without one gets no statement
 * @param purgeDuties databases whose old request identifiers this proxy removes
 */
public record ControlSnapshot(
    VmId vm,
    String instance,
    Optional<Configuration> configuration,
    boolean ready,
    boolean trusted,
    boolean leaving,
    int vms,
    Map<DatabaseId, GroupView> groups,
    Map<MemberId, String> incarnations,
    Set<DatabaseId> purgeDuties) {

  /** Copies the collections. */
  public ControlSnapshot {
    if (vms < 1) {
      throw new IllegalArgumentException("vms must be positive: " + vms);
    }
    groups = Map.copyOf(groups);
    incarnations = Map.copyOf(incarnations);
    purgeDuties = Set.copyOf(purgeDuties);
  }
}
