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
 * Immutable snapshot of the control state, published by the control thread for traffic threads.
 *
 * @param vm VM of this proxy
 * @param instance random identifier, new at each start of the process
 * @param configuration current configuration, empty until the first one is adopted
 * @param ready whether statements may be served
 * @param trusted whether the configuration may still be trusted
 * @param leaving whether the proxy is stopping and takes no new work
 * @param vmCount number of VMs in the share table, at least one; each VM gets an equal part of a
 *     member's connections
 * @param groups last known state of each database group
 * @param incarnations incarnation last reported by each member; pooled connections are bound to it,
 *     and a member without one gets no statement
 * @param databasesToPurge databases from which this proxy deletes old request ids
 */
public record ControlSnapshot(
    VmId vm,
    String instance,
    Optional<Configuration> configuration,
    boolean ready,
    boolean trusted,
    boolean leaving,
    int vmCount,
    Map<DatabaseId, GroupView> groups,
    Map<MemberId, String> incarnations,
    Set<DatabaseId> databasesToPurge) {

  /** Copies the collections. */
  public ControlSnapshot {
    if (vmCount < 1) {
      throw new IllegalArgumentException("vmCount must be at least 1: " + vmCount);
    }
    groups = Map.copyOf(groups);
    incarnations = Map.copyOf(incarnations);
    databasesToPurge = Set.copyOf(databasesToPurge);
  }
}
