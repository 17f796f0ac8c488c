package org.oleanderstep.proxy.internal.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.routing.GroupView;

/**
 * The control state that traffic threads read; immutable and published by the control thread.
 *
 * @param vm VM of this proxy
 * @param instance random text for each start of the process
 * @param ready whether a configuration was adopted and statements may be served
 * @param trusted whether the configuration may still be trusted
 * @param leaving whether the proxy is stopping and takes no new work
 * @param groups what is known of each database group
 * @param targets members by database, with their addresses and this proxy's share of them
 * @param purgeDuties databases whose old request identifiers this proxy removes
 */
public record ControlSnapshot(
    VmId vm,
    String instance,
    boolean ready,
    boolean trusted,
    boolean leaving,
    Map<DatabaseId, GroupView> groups,
    Map<DatabaseId, List<TargetMember>> targets,
    Set<DatabaseId> purgeDuties) {

  /** Copies the collections. */
  public ControlSnapshot {
    groups = Map.copyOf(groups);
    targets = Map.copyOf(targets);
    purgeDuties = Set.copyOf(purgeDuties);
  }

  /** Returns the address and share of a member, if it is declared. */
  public Optional<TargetMember> target(DatabaseId database, MemberId member) {
    return targets.getOrDefault(database, List.of()).stream()
        .filter(target -> target.member().equals(member))
        .findFirst();
  }
}
