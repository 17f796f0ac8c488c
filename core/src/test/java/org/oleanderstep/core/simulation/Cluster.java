package org.oleanderstep.core.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.failover.FailoverSettings;

/** A simulated database group of three members with its proxies and sessions. */
final class Cluster {

  static final int GROUP_SIZE = 3;

  final Simulator simulator;
  final History history = new History();
  final Map<String, ModelMember> members = new LinkedHashMap<>();
  final List<ModelProxy> proxies = new ArrayList<>();
  final List<ModelSession> sessions = new ArrayList<>();

  Cluster(long seed, Defect defect, int proxyCount, int sessionCount, long thinkTimeNanos) {
    this(seed, defect, proxyCount, sessionCount, thinkTimeNanos, FailoverSettings.DEFAULT);
  }

  Cluster(
      long seed,
      Defect defect,
      int proxyCount,
      int sessionCount,
      long thinkTimeNanos,
      FailoverSettings settings) {
    simulator = new Simulator(seed);
    for (int i = 0; i < GROUP_SIZE; i++) {
      String name = "member-" + (char) ('a' + i);
      members.put(name, new ModelMember(name, simulator, history, defect, members));
    }
    for (int i = 0; i < proxyCount; i++) {
      proxies.add(new ModelProxy("vm-" + i, simulator, defect, members, proxies, settings));
    }
    for (int i = 0; i < sessionCount; i++) {
      sessions.add(
          new ModelSession("session-" + i, simulator, history, i > 0, proxies, thinkTimeNanos));
    }
    proxies.forEach(ModelProxy::start);
    sessions.forEach(ModelSession::scheduleNext);
  }

  /** Runs a cluster under random faults, then heals them all and lets the group recover. */
  static Cluster runWithFaults(long seed, Defect defect) {
    int proxyCount = 2 + (int) Math.floorMod(seed, 4L);
    Cluster cluster = new Cluster(seed, defect, proxyCount, 3, 30 * Simulator.MILLIS);
    Simulator simulator = cluster.simulator;
    simulator.runUntil(3 * Simulator.SECONDS);
    simulator.setLossy(true);
    cluster.injectFaults(15 * Simulator.SECONDS);
    simulator.runUntil(15 * Simulator.SECONDS);
    simulator.healAll();
    simulator.runUntil(20 * Simulator.SECONDS);
    cluster.sessions.forEach(ModelSession::stop);
    simulator.runUntil(26 * Simulator.SECONDS);
    cluster.recordFinalLog();
    return cluster;
  }

  private void injectFaults(long endNanos) {
    long delay = (200 + simulator.random.nextInt(1_300)) * Simulator.MILLIS;
    if (simulator.now() + delay >= endNanos) {
      return;
    }
    simulator.after(
        delay,
        () -> {
          injectFault();
          injectFaults(endNanos);
        });
  }

  private void injectFault() {
    ModelMember member = pickRandom(new ArrayList<>(members.values()));
    ModelProxy proxy = pickRandom(proxies);
    long duration = (200 + simulator.random.nextInt(3_500)) * Simulator.MILLIS;
    switch (simulator.random.nextInt(10)) {
      case 0 ->
          disconnectFor(member.name, pickRandom(new ArrayList<>(members.values())).name, duration);
      case 1 -> disconnectFor(member.name, proxy.name, duration);
      case 2 -> simulator.pause(member.name, duration);
      case 3 -> simulator.pause(proxy.name, duration);
      case 4 -> proxy.start();
      case 5 -> restart(member, duration);
      case 6 -> isolatePrimary(duration);
      case 7 -> delayApply(member, duration);
      case 8 -> proxy.requestSwitchover(Optional.of(member.name));
      default -> disconnectFor(proxy.name, pickRandom(proxies).name, duration);
    }
  }

  /** Partitions the primary from its replicas while proxies still reach it. */
  void isolatePrimary(long durationNanos) {
    activePrimary()
        .ifPresent(
            primary ->
                members
                    .keySet()
                    .forEach(other -> disconnectFor(primary.name, other, durationNanos)));
  }

  void disconnectFor(String a, String b, long durationNanos) {
    if (!a.equals(b)) {
      simulator.disconnect(a, b);
      simulator.after(durationNanos, () -> simulator.heal(a, b));
    }
  }

  void restart(ModelMember member, long durationNanos) {
    simulator.stop(member.name);
    simulator.after(
        durationNanos,
        () -> {
          member.restart();
          simulator.start(member.name);
        });
  }

  private void delayApply(ModelMember member, long durationNanos) {
    member.setApplyLag(durationNanos);
    simulator.after(durationNanos, () -> member.setApplyLag(5 * Simulator.MILLIS));
  }

  Optional<ModelMember> activePrimary() {
    return members.values().stream()
        .filter(ModelMember::isActivePrimary)
        .max((a, b) -> Long.compare(a.term(), b.term()));
  }

  /** Records the log of the current primary as the final log of the run. */
  void recordFinalLog() {
    Optional<ModelMember> primary = activePrimary();
    history.add(
        new History.RunEnded(
            primary.isPresent(), primary.map(ModelMember::committedLog).orElse(List.of())));
  }

  List<HistoryChecker.Violation> check() {
    return HistoryChecker.check(history, GROUP_SIZE);
  }

  private <T> T pickRandom(List<T> candidates) {
    return candidates.get(simulator.random.nextInt(candidates.size()));
  }
}
