package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.oleanderstep.core.balancing.ReadBalancer;
import org.oleanderstep.core.position.LogPosition;

/**
 * Ranks the members that may serve a read by expected cost, cheapest first.
 *
 * <p>Keeps reads from overloading the primary while replicas have capacity. Traffic between failure
 * domains and new connections cost more than a short queue. The queue is estimated from the own
 * connections in use or, where the deployment asks for it, from measurements.
 */
final class MemberRanking {

  // Costs, in milliseconds of expected delay.
  private static final double NEW_CONNECTION_COST = 15;
  private static final double OTHER_FAILURE_DOMAIN_COST = 12;
  private static final double COST_PER_LEASED_CONNECTION = 8;
  private static final double PRIMARY_COST = 30;
  private static final double NO_CAPACITY_COST = 100;
  private static final double FAILING_COST = 400;
  private static final double AVOIDED_COST = 200;
  private static final double BEHIND_COST = 300;

  private final String failureDomain;
  private final ServiceMeasurements measurements;

  MemberRanking(String failureDomain, ServiceMeasurements measurements) {
    this.failureDomain = failureDomain;
    this.measurements = measurements;
  }

  List<MemberPool> rank(
      Collection<MemberPool> pools,
      Optional<MemberPool> primary,
      LeaseRequest request,
      LogPosition requiredPosition,
      Duration timeSinceReached) {
    Situation situation =
        new Situation(pools, primary, request, requiredPosition, timeSinceReached);
    List<MemberPool> candidates =
        pools.stream()
            .filter(MemberPool::acceptsReads)
            .filter(pool -> !pool.hasRefusedPosition(requiredPosition))
            .toList();
    List<MemberPool> ranked = rank(withoutEjected(candidates), situation);
    return withDueTrial(ranked, candidates, situation);
  }

  /** An ejected member is better than none, or than members that don't respond at all. */
  private List<MemberPool> withoutEjected(List<MemberPool> candidates) {
    List<MemberPool> others =
        candidates.stream().filter(pool -> !measurements.isEjected(pool)).toList();
    return others.stream().allMatch(MemberPool::isFailing) ? candidates : others;
  }

  /** A read that no member has failed yet also tries an ejected member whose time is over. */
  private List<MemberPool> withDueTrial(
      List<MemberPool> ranked, List<MemberPool> candidates, Situation situation) {
    Optional<MemberPool> trial =
        candidates.stream()
            .filter(pool -> !ranked.contains(pool))
            .filter(pool -> measurements.isTrialDue(pool, pool.now()))
            .filter(pool -> pool.hasIdle(situation.request.organisation()) || !pool.isOpening())
            .filter(pool -> situation.obstacleCost(pool) == 0)
            .findFirst();
    return trial
        .map(pool -> Stream.concat(Stream.of(pool), ranked.stream()).toList())
        .orElse(ranked);
  }

  private List<MemberPool> rank(List<MemberPool> candidates, Situation situation) {
    if (measurements.ranksByMeasurements()) {
      return rankMeasured(candidates, situation);
    }
    return candidates.stream()
        .sorted(Comparator.comparingDouble(pool -> fixedCost(pool, situation)))
        .toList();
  }

  private double fixedCost(MemberPool pool, Situation situation) {
    return pool.leasedConnections() * COST_PER_LEASED_CONNECTION
        + placeCost(pool, situation)
        + situation.obstacleCost(pool);
  }

  /** Members with an obstacle come after all others. */
  private List<MemberPool> rankMeasured(List<MemberPool> candidates, Situation situation) {
    List<ReadBalancer.Candidate<MemberPool>> free = new ArrayList<>();
    List<MemberPool> obstructed = new ArrayList<>();
    for (MemberPool pool : candidates) {
      if (situation.obstacleCost(pool) > 0) {
        obstructed.add(pool);
      } else {
        free.add(
            new ReadBalancer.Candidate<>(
                pool, measuredCost(pool, situation), isLocal(pool), situation.isPrimary(pool)));
      }
    }
    obstructed.sort(
        Comparator.comparingDouble(
            pool -> measuredCost(pool, situation) + situation.obstacleCost(pool)));
    return Stream.concat(measurements.order(free).stream(), obstructed.stream()).toList();
  }

  private double measuredCost(MemberPool pool, Situation situation) {
    return measurements.expectedMillis(pool, situation.pools, situation.request, pool.now())
        + placeCost(pool, situation);
  }

  private boolean isLocal(MemberPool pool) {
    return pool.member().failureDomain().equals(failureDomain);
  }

  private double placeCost(MemberPool pool, Situation situation) {
    double cost = pool.hasIdle(situation.request.organisation()) ? 0 : NEW_CONNECTION_COST;
    cost += isLocal(pool) ? 0 : OTHER_FAILURE_DOMAIN_COST;
    cost += situation.isPrimary(pool) ? PRIMARY_COST : 0;
    return cost;
  }

  /** The request, and the state of the service. */
  private record Situation(
      Collection<MemberPool> pools,
      Optional<MemberPool> primary,
      LeaseRequest request,
      LogPosition requiredPosition,
      Duration timeSinceReached) {

    private boolean isPrimary(MemberPool pool) {
      return primary.filter(p -> p == pool).isPresent();
    }

    /** Returns the cost of what would probably keep the member from serving the read. */
    private double obstacleCost(MemberPool pool) {
      double cost = pool.hasCapacity() ? 0 : NO_CAPACITY_COST;
      cost += pool.isFailing() ? FAILING_COST : 0;
      cost += request.avoids(pool) ? AVOIDED_COST : 0;
      boolean behind = !isPrimary(pool) && pool.isBehind(requiredPosition, timeSinceReached);
      return cost + (behind ? BEHIND_COST : 0);
    }
  }
}
