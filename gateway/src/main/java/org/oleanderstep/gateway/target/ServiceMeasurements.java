package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.oleanderstep.core.balancing.MemberLoad;
import org.oleanderstep.core.balancing.OutlierEjection;
import org.oleanderstep.core.balancing.ReadBalancer;
import org.oleanderstep.core.balancing.ReferenceLatencies;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.gateway.control.LoadPolicy;
import org.oleanderstep.gateway.control.TargetMember;
import org.oleanderstep.gateway.log.DecisionLog;

/**
 * What this VM has measured of the members of one service, and which of them it avoids.
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
final class ServiceMeasurements {

  /** The expected work of a statement of a kind that has not been seen yet. */
  private static final double UNKNOWN_WORK_MILLIS = 10;

  /** Members that are known this soon after the service are not new. */
  private static final Duration START_TIME = Duration.ofSeconds(5);

  private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

  /** Shorter than an ejection by far; each update compares all members of the service. */
  private static final Duration EJECTION_INTERVAL = Duration.ofMillis(100);

  // A member is reported as avoided from the higher ratio to the best member's time to the lower
  // one, so that lines are rare.
  private static final double REPORTED_AS_SLOW = 3;
  private static final double REPORTED_AS_USUAL = 1.5;

  private final String service;
  private final LoadPolicy policy;
  private final DecisionLog log;
  private final TargetMetrics metrics;
  private final ReadBalancer balancer;
  private final ReferenceLatencies<WorkClass.Kind> references = new ReferenceLatencies<>();
  private final OutlierEjection<MemberId> ejection = new OutlierEjection<>();
  private final Map<MemberId, TargetMetrics.MemberGauges> gauges = new HashMap<>();
  private final Set<MemberId> slow = new HashSet<>();
  private final long createdAt;
  private long reportedAt;
  private long ejectionsUpdatedAt;

  ServiceMeasurements(
      String service,
      LoadPolicy policy,
      DecisionLog log,
      TargetMetrics metrics,
      RandomGenerator random,
      long now) {
    this.service = service;
    this.policy = policy;
    this.log = log;
    this.metrics = metrics;
    balancer = new ReadBalancer(random);
    createdAt = now;
    reportedAt = now;
    ejectionsUpdatedAt = now;
  }

  /** Returns whether statements are measured at all. */
  boolean isActive() {
    return policy.measuredRanking() || policy.outlierEjection();
  }

  /** Returns whether reads are distributed by what was measured. */
  boolean ranksByMeasurements() {
    return policy.measuredRanking();
  }

  /**
   * Returns empty measurements of a member, if any are made. A member that comes later than the
   * service gets its part of the load gradually.
   */
  Optional<MemberMeasurements> ofMember(TargetMember member, int connections, long now) {
    if (!isActive()) {
      return Optional.empty();
    }
    ejection.forget(member.id());
    MemberMeasurements measured =
        new MemberMeasurements(
            references,
            member.slots(),
            connections,
            (failed, at) -> ejection.onOutcome(member.id(), failed, at),
            now);
    if (now - createdAt > START_TIME.toNanos()) {
      measured.load().startSlowly(now);
    }
    return Optional.of(measured);
  }

  /** Records that a member responds again after it had failed altogether. */
  void onRecovered(MemberPool pool, long now) {
    pool.measurements().ifPresent(measured -> measured.load().startSlowly(now));
    ejection.forgetFailures(pool.member().id(), now);
  }

  boolean isEjected(MemberPool pool) {
    return policy.outlierEjection() && ejection.isEjected(pool.member().id());
  }

  boolean isTrialDue(MemberPool pool, long now) {
    return policy.outlierEjection() && ejection.isTrialDue(pool.member().id(), now);
  }

  /** Records that a read was given a connection of a member. */
  void onGranted(MemberPool pool, long now) {
    if (isTrialDue(pool, now)) {
      ejection.startTrial(pool.member().id(), now);
    }
  }

  /** Returns the members in the order in which a read should try them. */
  List<MemberPool> order(List<ReadBalancer.Candidate<MemberPool>> candidates) {
    return balancer.order(candidates);
  }

  /**
   * Returns the time in milliseconds that a read is expected to take at a member.
   *
   * @param pools all members of the service
   */
  double expectedMillis(
      MemberPool pool, Collection<MemberPool> pools, LeaseRequest request, long now) {
    double millis = references.millis(request.workClass().reads(), UNKNOWN_WORK_MILLIS);
    return pool.measurements()
        .map(
            measured ->
                measured.load().expectedMillis(millis, situation(pool, measured, pools, now), now))
        .orElse(millis);
  }

  private MemberLoad.Situation situation(
      MemberPool pool, MemberMeasurements measured, Collection<MemberPool> pools, long now) {
    return new MemberLoad.Situation(
        assumedSlowness(pool, pools, now),
        pool.longestWait(now),
        measured.inFlight(),
        Math.max(1, pool.member().slots()));
  }

  /** A member without recent measurements may be as fast as the best one, so that it is tried. */
  private static double assumedSlowness(MemberPool pool, Collection<MemberPool> pools, long now) {
    return pools.stream()
        .filter(other -> other != pool)
        .flatMap(other -> other.measurements().stream())
        .map(MemberMeasurements::load)
        .filter(load -> load.isMeasured(now))
        .mapToDouble(load -> load.slowness(1, now))
        .min()
        .orElse(1);
  }

  /** Ejects members, ends ejections, and reports both and what was measured. */
  void tick(Collection<MemberPool> pools, Optional<MemberPool> primary, long now) {
    if (policy.outlierEjection() && now - ejectionsUpdatedAt >= EJECTION_INTERVAL.toNanos()) {
      ejectionsUpdatedAt = now;
      updateEjections(pools, primary, now);
    }
    if (isActive() && now - reportedAt >= REPORT_INTERVAL.toNanos()) {
      reportedAt = now;
      report(pools, now);
    }
  }

  private void updateEjections(
      Collection<MemberPool> pools, Optional<MemberPool> primary, long now) {
    List<OutlierEjection.Observed<MemberId>> observed =
        pools.stream()
            .map(
                pool ->
                    new OutlierEjection.Observed<>(
                        pool.member().id(),
                        pool.acceptsReads() && !pool.isFailing(),
                        primary.filter(p -> p == pool).isEmpty()))
            .toList();
    for (OutlierEjection.Change<MemberId> change : ejection.update(observed, now)) {
      if (change.ejected()) {
        logAvoided(change.member(), "FAILURES").with("for_ms", change.time().toMillis()).write();
      } else {
        logReturned(change.member());
        startSlowly(change.member(), pools, now);
      }
    }
  }

  private static void startSlowly(MemberId member, Collection<MemberPool> pools, long now) {
    pools.stream()
        .filter(pool -> pool.member().id().equals(member))
        .flatMap(pool -> pool.measurements().stream())
        .forEach(measured -> measured.load().startSlowly(now));
  }

  private DecisionLog.Line logAvoided(MemberId member, String reason) {
    return log.stateChange("member_avoided")
        .with("member", member.name())
        .with("service", service)
        .with("reason", reason);
  }

  private void logReturned(MemberId member) {
    log.stateChange("member_returned")
        .with("member", member.name())
        .with("service", service)
        .write();
  }

  private void report(Collection<MemberPool> pools, long now) {
    Map<MemberId, Double> expected = new HashMap<>();
    for (MemberPool pool : pools) {
      pool.measurements()
          .ifPresent(
              measured ->
                  expected.put(pool.member().id(), expectedMillis(pool, measured, pools, now)));
    }
    if (policy.measuredRanking()) {
      reportSlow(expected);
    }
    pools.forEach(pool -> updateGauges(pool, expected.getOrDefault(pool.member().id(), 0.0)));
    Set.copyOf(gauges.keySet()).stream()
        .filter(member -> !expected.containsKey(member))
        .forEach(member -> gauges.remove(member).remove());
    slow.retainAll(expected.keySet());
  }

  private double expectedMillis(
      MemberPool pool, MemberMeasurements measured, Collection<MemberPool> pools, long now) {
    return measured
        .load()
        .expectedMillis(UNKNOWN_WORK_MILLIS, situation(pool, measured, pools, now), now);
  }

  private void reportSlow(Map<MemberId, Double> expected) {
    double best = expected.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
    expected.forEach(
        (member, millis) -> {
          if (millis > best * REPORTED_AS_SLOW && slow.add(member)) {
            logAvoided(member, "SLOW")
                .with("expected_ms", Math.round(millis))
                .with("best_ms", Math.round(best))
                .write();
          } else if (millis < best * REPORTED_AS_USUAL && slow.remove(member)) {
            logReturned(member);
          }
        });
  }

  private void updateGauges(MemberPool pool, double expectedMillis) {
    gauges
        .computeIfAbsent(
            pool.member().id(), member -> metrics.registerMember(service, member.name()))
        .update(
            expectedMillis,
            pool.measurements().map(MemberMeasurements::inFlight).orElse(0),
            isEjected(pool));
  }
}
