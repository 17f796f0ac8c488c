package org.oleanderstep.core.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.failover.FailoverSettings;

/** One database group of three members with its proxies and sessions. */
final class Cluster {

  static final int GROUP_SIZE = 3;

  final Simulator simulator;
  final History history = new History();
  final Map<String, ModelMember> members = new LinkedHashMap<>();
  final List<ModelProxy> proxies = new ArrayList<>();
  final List<ModelSession> sessions = new ArrayList<>();

  Cluster(long seed, Defect defect, int proxyCount, int sessionCount, long pauseNanos) {
    this(seed, defect, proxyCount, sessionCount, pauseNanos, FailoverSettings.DEFAULT);
  }

  Cluster(
      long seed,
      Defect defect,
      int proxyCount,
      int sessionCount,
      long pauseNanos,
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
          new ModelSession("session-" + i, simulator, history, i > 0, proxies, pauseNanos));
    }
    proxies.forEach(ModelProxy::start);
    sessions.forEach(ModelSession::start);
  }

  /** Runs random faults for a time, then heals them all and lets the group settle. */
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
    cluster.end();
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
    ModelMember member = any(new ArrayList<>(members.values()));
    ModelProxy proxy = any(proxies);
    long duration = (200 + simulator.random.nextInt(3_500)) * Simulator.MILLIS;
    switch (simulator.random.nextInt(10)) {
      case 0 -> cutFor(member.name, any(new ArrayList<>(members.values())).name, duration);
      case 1 -> cutFor(member.name, proxy.name, duration);
      case 2 -> simulator.freeze(member.name, duration);
      case 3 -> simulator.freeze(proxy.name, duration);
      case 4 -> proxy.start();
      case 5 -> restart(member, duration);
      case 6 -> isolatePrimary(duration);
      case 7 -> lag(member, duration);
      case 8 -> proxy.requestChange(Optional.of(member.name));
      default -> cutFor(proxy.name, any(proxies).name, duration);
    }
  }

  /** Cuts the primary off its replicas while proxies still reach it. */
  void isolatePrimary(long durationNanos) {
    openPrimary()
        .ifPresent(
            primary ->
                members.keySet().forEach(other -> cutFor(primary.name, other, durationNanos)));
  }

  void cutFor(String a, String b, long durationNanos) {
    if (!a.equals(b)) {
      simulator.cut(a, b);
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

  private void lag(ModelMember member, long durationNanos) {
    member.setApplyLag(durationNanos);
    simulator.after(durationNanos, () -> member.setApplyLag(5 * Simulator.MILLIS));
  }

  Optional<ModelMember> openPrimary() {
    return members.values().stream()
        .filter(ModelMember::isOpenPrimary)
        .max((a, b) -> Long.compare(a.term(), b.term()));
  }

  /** Records the log of the present primary as the final one. */
  void end() {
    Optional<ModelMember> primary = openPrimary();
    history.add(
        new History.Ended(
            primary.isPresent(), primary.map(ModelMember::committedLog).orElse(List.of())));
  }

  List<HistoryChecker.Violation> check() {
    return HistoryChecker.check(history, GROUP_SIZE);
  }

  private <T> T any(List<T> candidates) {
    return candidates.get(simulator.random.nextInt(candidates.size()));
  }
}
