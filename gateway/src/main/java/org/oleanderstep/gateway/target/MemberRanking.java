package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;

/**
 * Ranks the members that may serve a read by expected cost, cheapest first.
 *
 * <p>Keeps reads from overloading the primary while replicas have capacity. Traffic between failure
 * domains and new connections cost more than a short queue.
 */
final class MemberRanking {

  // Costs, in milliseconds of expected delay.
  private static final double NEW_CONNECTION = 15;
  private static final double OTHER_DOMAIN = 12;
  private static final double PER_BUSY_CONNECTION = 8;
  private static final double PRIMARY = 30;
  private static final double NO_ROOM = 100;
  private static final double FAILING = 400;
  private static final double AVOIDED = 200;
  private static final double BEHIND = 300;

  private final String failureDomain;

  MemberRanking(String failureDomain) {
    this.failureDomain = failureDomain;
  }

  List<MemberPool> rank(
      Collection<MemberPool> pools,
      Optional<MemberPool> primary,
      LeaseRequest request,
      LogPosition need,
      Duration reachedBefore) {
    return pools.stream()
        .filter(MemberPool::acceptsReads)
        .filter(pool -> !pool.hasRefused(need))
        .sorted(
            Comparator.comparingDouble(pool -> cost(pool, primary, request, need, reachedBefore)))
        .toList();
  }

  private double cost(
      MemberPool pool,
      Optional<MemberPool> primary,
      LeaseRequest request,
      LogPosition need,
      Duration reachedBefore) {
    OrganisationId organisation = request.organisation();
    boolean leads = primary.filter(p -> p == pool).isPresent();
    double cost = pool.busy() * PER_BUSY_CONNECTION;
    cost += pool.hasIdle(organisation) ? 0 : NEW_CONNECTION;
    cost += pool.hasRoom() ? 0 : NO_ROOM;
    cost += pool.member().failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN;
    cost += leads ? PRIMARY : 0;
    cost += pool.isFailing() ? FAILING : 0;
    cost += request.avoids(pool) ? AVOIDED : 0;
    cost += !leads && pool.isBehind(need, reachedBefore) ? BEHIND : 0;
    return cost;
  }
}
