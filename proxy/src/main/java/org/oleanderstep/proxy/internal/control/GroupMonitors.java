package org.oleanderstep.proxy.internal.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.configuration.DatabaseDefinition;
import org.oleanderstep.core.configuration.Service;
import org.oleanderstep.core.failover.FailoverSettings;
import org.oleanderstep.core.membership.PeerIdentity;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.proxy.internal.rpc.MemberCalls;
import org.oleanderstep.schema.v1.DatabaseState;

/** Holds one monitor for each declared database. */
final class GroupMonitors {

  private final Map<DatabaseId, GroupMonitor> monitors = new LinkedHashMap<>();
  private final PeerIdentity self;
  private final FailoverSettings settings;
  private final ControlLoop loop;
  private final MemberCalls calls;
  private final RandomGenerator random;
  private final Runnable publish;
  private Set<MemberId> listedLeaving = Set.of();
  private List<VmId> live = List.of();

  GroupMonitors(
      PeerIdentity self,
      FailoverSettings settings,
      ControlLoop loop,
      MemberCalls calls,
      RandomGenerator random,
      Runnable publish) {
    this.self = self;
    this.settings = settings;
    this.loop = loop;
    this.calls = calls;
    this.random = random;
    this.publish = publish;
  }

  /** Creates and closes monitors to match the declared databases and their members. */
  void onConfiguration(Configuration configuration) {
    Map<DatabaseId, DatabaseDefinition> declared = new LinkedHashMap<>();
    for (Service service : configuration.declarations().services()) {
      for (DatabaseDefinition database : service.databases()) {
        declared.put(new DatabaseId(service.name(), database.name()), database);
      }
    }
    monitors
        .entrySet()
        .removeIf(
            entry -> {
              DatabaseDefinition next = declared.get(entry.getKey());
              boolean same =
                  next != null && next.members().equals(entry.getValue().definition().members());
              if (!same) {
                entry.getValue().close();
              }
              return !same;
            });
    declared.forEach(
        (id, definition) -> monitors.computeIfAbsent(id, key -> create(key, definition)));
  }

  private GroupMonitor create(DatabaseId id, DatabaseDefinition definition) {
    GroupMonitor monitor =
        new GroupMonitor(id, definition, self, settings, loop, calls, random, publish);
    monitor.onListedLeaving(listedLeaving);
    monitor.onPeers(live);
    monitor.poll();
    return monitor;
  }

  Optional<GroupMonitor> monitor(DatabaseId database) {
    return Optional.ofNullable(monitors.get(database));
  }

  Map<DatabaseId, GroupMonitor> all() {
    return monitors;
  }

  void poll() {
    monitors.values().forEach(GroupMonitor::poll);
  }

  /** Sends the status requests that were deferred by the minimum interval. */
  void sendPendingRequests() {
    monitors.values().forEach(GroupMonitor::sendPendingRequests);
  }

  void tick() {
    monitors.values().forEach(GroupMonitor::tick);
  }

  void onPeers(Collection<VmId> peers) {
    live = List.copyOf(peers);
    monitors.values().forEach(monitor -> monitor.onPeers(live));
  }

  void onListedLeaving(Set<MemberId> leaving) {
    listedLeaving = leaving;
    monitors.values().forEach(monitor -> monitor.onListedLeaving(leaving));
  }

  /** Handles a peer's report about primaries; only higher terms are used. */
  void onPeerStates(List<DatabaseState> states) {
    for (DatabaseState state : states) {
      GroupMonitor monitor = monitors.get(new DatabaseId(state.getService(), state.getDatabase()));
      if (monitor != null && state.getTerm() > monitor.highestTerm()) {
        monitor.onPeerReport(state.getTerm(), new MemberId(state.getPrimary()));
      }
    }
  }

  /** Returns the known primaries for the gossip digest. */
  List<DatabaseState> states() {
    return monitors.entrySet().stream()
        .flatMap(
            entry ->
                entry.getValue().primary().stream()
                    .map(
                        primary ->
                            DatabaseState.newBuilder()
                                .setService(entry.getKey().service())
                                .setDatabase(entry.getKey().database())
                                .setTerm(primary.term())
                                .setPrimary(primary.member().name())
                                .build()))
        .toList();
  }
}
