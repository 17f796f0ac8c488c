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
  private static final double NEW_CONNECTION_COST = 15;
  private static final double OTHER_FAILURE_DOMAIN_COST = 12;
  private static final double COST_PER_LEASED_CONNECTION = 8;
  private static final double PRIMARY_COST = 30;
  private static final double NO_CAPACITY_COST = 100;
  private static final double FAILING_COST = 400;
  private static final double AVOIDED_COST = 200;
  private static final double BEHIND_COST = 300;

  private final String failureDomain;

  MemberRanking(String failureDomain) {
    this.failureDomain = failureDomain;
  }

  List<MemberPool> rank(
      Collection<MemberPool> pools,
      Optional<MemberPool> primary,
      LeaseRequest request,
      LogPosition requiredPosition,
      Duration timeSinceReached) {
    return pools.stream()
        .filter(MemberPool::acceptsReads)
        .filter(pool -> !pool.hasRefusedPosition(requiredPosition))
        .sorted(
            Comparator.comparingDouble(
                pool -> cost(pool, primary, request, requiredPosition, timeSinceReached)))
        .toList();
  }

  private double cost(
      MemberPool pool,
      Optional<MemberPool> primary,
      LeaseRequest request,
      LogPosition requiredPosition,
      Duration timeSinceReached) {
    OrganisationId organisation = request.organisation();
    boolean isPrimary = primary.filter(p -> p == pool).isPresent();
    double cost = pool.leasedConnections() * COST_PER_LEASED_CONNECTION;
    cost += pool.hasIdle(organisation) ? 0 : NEW_CONNECTION_COST;
    cost += pool.hasCapacity() ? 0 : NO_CAPACITY_COST;
    cost += pool.member().failureDomain().equals(failureDomain) ? 0 : OTHER_FAILURE_DOMAIN_COST;
    cost += isPrimary ? PRIMARY_COST : 0;
    cost += pool.isFailing() ? FAILING_COST : 0;
    cost += request.avoids(pool) ? AVOIDED_COST : 0;
    cost += !isPrimary && pool.isBehind(requiredPosition, timeSinceReached) ? BEHIND_COST : 0;
    return cost;
  }
}
