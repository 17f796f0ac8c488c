package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.freshness.PositionHistory;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.placement.EvacuatedDomains;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.scheduling.ColdShare;
import org.oleanderstep.core.scheduling.MemberOutage;
import org.oleanderstep.core.scheduling.ServiceQueue;
import org.oleanderstep.gateway.control.LoadPolicy;
import org.oleanderstep.gateway.control.TargetMember;
import org.oleanderstep.gateway.log.DecisionLog;

/**
 * The connection pools of all members of a service, and the queue of requests for a connection.
 *
 * <pre>{@code
 * pool.submit(request);
 * // once granted, and after the reply:
 * pool.recordPosition(requestedAt, position);
 * pool.release(lease.connection());
 * }</pre>
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
public final class ServicePool {

  /**
   * Part of a route's maximum staleness that is reserved for the delivery of the statement to the
   * member, which takes longer on a congested link.
   */
  private static final Duration STALENESS_MARGIN = Duration.ofMillis(500);

  /** Each VM samples each primary, so that a shorter interval is costly in a large fleet. */
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(500);

  /** Several sample intervals, because some of them may find no idle connection. */
  private static final Duration CONFIRMATION_VALIDITY = Duration.ofSeconds(1);

  // A restarted process may claim to be the primary while the entry of its predecessor is listed.
  private static final Comparator<MemberPool> BY_TERM =
      Comparator.comparingLong((MemberPool pool) -> pool.lastPosition().term())
          .thenComparingLong(pool -> pool.member().startMillis());

  private final String service;
  private final SuspendAwareClock clock;
  private final TargetConnector connector;
  private final DecisionLog log;
  private final TargetMetrics metrics;
  private final ServiceMeasurements measurements;
  private final MemberRanking ranking;
  private final Map<MemberId, MemberPool> pools = new HashMap<>();
  private final List<MemberPool> retiredPools = new ArrayList<>();
  private final WaitingRequests waitingRequests;
  private final Optional<OpeningOrder> openingOrder;
  private final Optional<ServiceRetries> retries;
  private final MemberOutage primaryOutage;
  private final MemberOutage outage;
  private final PositionHistory history = new PositionHistory();
  private EvacuatedDomains evacuated = EvacuatedDomains.NONE;
  private ColdShare coldShare = ColdShare.UNLIMITED;
  private Set<MemberId> suspects = Set.of();
  private Optional<MemberId> lastPrimary = Optional.empty();
  private Optional<OrganisationId> lastOrganisation = Optional.empty();
  private final List<PositionInquiry> inquiries = new ArrayList<>();
  private boolean sampleInFlight;
  private int connectionsPerMember = 1;
  private boolean granting;
  private boolean grantAgain;

  /** Creates the pool of a service that has no members yet. */
  public ServicePool(
      String service,
      String failureDomain,
      LoadPolicy policy,
      SuspendAwareClock clock,
      TargetConnector connector,
      DecisionLog log,
      TargetMetrics metrics) {
    this(service, failureDomain, policy, clock, connector, log, metrics, new SplittableRandom());
  }

  /** Creates a pool that draws members by the given random numbers. */
  ServicePool(
      String service,
      String failureDomain,
      LoadPolicy policy,
      SuspendAwareClock clock,
      TargetConnector connector,
      DecisionLog log,
      TargetMetrics metrics,
      RandomGenerator random) {
    this.service = service;
    this.clock = clock;
    this.connector = connector;
    this.log = log;
    this.metrics = metrics;
    measurements =
        new ServiceMeasurements(service, policy, log, metrics, random, clock.monotonicNanos());
    ranking = new MemberRanking(failureDomain, measurements);
    primaryOutage = new MemberOutage(nowNanos());
    outage = new MemberOutage(nowNanos());
    boolean fair = policy.fairQueue();
    openingOrder = fair ? Optional.of(new OpeningOrder()) : Optional.empty();
    retries =
        fair
            ? Optional.of(new ServiceRetries(this::nowNanos, new SplittableRandom()))
            : Optional.empty();
    waitingRequests = fair ? newFairRequests() : new ListedRequests(this::refusalReason);
  }

  private WaitingRequests newFairRequests() {
    ServiceQueue<LeaseRequest> queue =
        new ServiceQueue<>(
            FairRequests.CAPACITY, new QueueMembers(), new SplittableRandom(), nowNanos());
    return new FairRequests(service, queue, log, metrics.queue());
  }

  /** What the queue needs to know of the members. */
  private final class QueueMembers implements ServiceQueue.Members {

    @Override
    public boolean available(boolean primary) {
      return availableInNanos(primary) == 0;
    }

    @Override
    public int concurrency(boolean primary) {
      int connections = 0;
      for (MemberPool pool : pools.values()) {
        if (pool.canServeWrites() == primary && (primary || pool.acceptsReads())) {
          connections += pool.leasedConnections() + pool.openingConnections();
        }
      }
      return Math.max(1, connections);
    }

    @Override
    public long availableInNanos(boolean primary) {
      return (primary ? primaryOutage : outage).remainingNanos(nowNanos());
    }
  }

  /** Returns the limits of retries; empty if there are none beyond those of each statement. */
  public Optional<ServiceRetries> retries() {
    return retries;
  }

  /** Sets the weights of organisations, usually their rates. */
  public void updateWeights(Map<OrganisationId, Double> weights) {
    waitingRequests.setWeights(weights);
  }

  private long nowNanos() {
    return clock.monotonicNanos();
  }

  /** Replaces the members of the service and the connection limit of this VM for each member. */
  public void update(Collection<TargetMember> members, int connectionsPerMember) {
    this.connectionsPerMember = connectionsPerMember;
    Set<MemberId> present = new HashSet<>();
    for (TargetMember member : members) {
      present.add(member.id());
      MemberPool existing = pools.get(member.id());
      if (existing != null && existing.member().isSameProcess(member)) {
        existing.update(member, connectionsPerMember);
        applyPlacement(existing);
      } else {
        retire(existing);
        pools.put(member.id(), newPool(member, connectionsPerMember));
      }
    }
    for (MemberId id : Set.copyOf(pools.keySet())) {
      if (!present.contains(id)) {
        retire(pools.remove(id));
      }
    }
    updateOutages();
    closeEvacuated();
  }

  /**
   * Replaces the failure domains to whose members nothing may be sent. {@link #closeEvacuated} must
   * follow, once all services know of them.
   */
  public void updateEvacuated(EvacuatedDomains update) {
    evacuated = update;
    applyPlacement();
  }

  /** Replaces the part of this VM in what cold members may get. */
  public void updateColdShare(ColdShare update) {
    coldShare = update;
    applyPlacement();
  }

  /** Ends what is under way with evacuated members, except for statements that await a reply. */
  public void closeEvacuated() {
    pools.values().forEach(MemberPool::closeIfEvacuated);
    retiredPools.forEach(MemberPool::closeIfEvacuated);
    grantPending();
  }

  private void applyPlacement() {
    pools.values().forEach(this::applyPlacement);
    retiredPools.forEach(this::applyPlacement);
  }

  private void applyPlacement(MemberPool pool) {
    pool.updateAccess(evacuated.accessTo(pool.member().failureDomain()));
    pool.updateColdShare(coldShare);
  }

  private boolean isEvacuated() {
    return !pools.isEmpty()
        && pools.values().stream().noneMatch(pool -> pool.access().allowsSending());
  }

  private MemberPool newPool(TargetMember member, int limit) {
    MemberPool pool =
        new MemberPool(
            member,
            limit,
            connector,
            this::nowNanos,
            log,
            metrics,
            measurements,
            this::grantPending);
    applyPlacement(pool);
    return pool;
  }

  private void retire(MemberPool pool) {
    if (pool != null) {
      pool.remove();
      retiredPools.add(pool);
    }
  }

  /** Returns the member that serves writes, if one is known. */
  public Optional<MemberPool> primary() {
    MemberPool latest = null;
    for (MemberPool pool : pools.values()) {
      if (pool.canServeWrites() && (latest == null || BY_TERM.compare(pool, latest) > 0)) {
        latest = pool;
      }
    }
    return Optional.ofNullable(latest);
  }

  /** Queues a request and grants it immediately if possible. */
  public void submit(LeaseRequest request) {
    lastOrganisation = Optional.of(request.organisation());
    waitingRequests.submit(request, nowNanos());
    grantPending();
  }

  /** Removes a request that is no longer needed. */
  public void cancel(LeaseRequest request) {
    waitingRequests.cancel(request);
  }

  /** Returns a leased connection to its pool. */
  public void release(PooledConnection connection) {
    if (connection.isOpen()) {
      long now = nowNanos();
      long held = now - connection.lastUsedAt();
      boolean primary = connection.pool().canServeWrites();
      waitingRequests.recordHoldTime(primary, held, now);
    }
    connection.pool().release(connection);
  }

  /** Records the position of a member that was the primary when it replied. */
  public void recordPosition(ClockReading requestedAt, LogPosition position) {
    history.add(requestedAt, position);
  }

  /**
   * Asks members which log position each has received. The result has the positions of those that
   * have answered in time; it never fails.
   */
  public CompletableFuture<Map<MemberId, LogPosition>> askPositions(Set<MemberId> members) {
    PositionInquiry inquiry = new PositionInquiry(members, nowNanos());
    inquiries.add(inquiry);
    inquiry.tick(pools, nowNanos());
    return inquiry.result();
  }

  /** Returns the last reported position of each member. */
  public Map<MemberId, LogPosition> positions() {
    Map<MemberId, LogPosition> positions = new HashMap<>();
    pools.forEach((id, pool) -> positions.put(id, pool.lastPosition()));
    return positions;
  }

  /**
   * Returns whether there is a primary that is not failing. While all members are evacuated there
   * can be none, which is no sign of a failure.
   */
  public boolean hasHealthyPrimary() {
    return isEvacuated() || primary().filter(pool -> !pool.isFailing()).isPresent();
  }

  /** Returns whether a member has recently confirmed that it is the primary. */
  public boolean hasRecentlyConfirmedPrimary() {
    return history
        .newestAge(clock.read())
        .filter(age -> age.compareTo(CONFIRMATION_VALIDITY) < 0)
        .isPresent();
  }

  /** Returns the members that are suspected of having failed. */
  public Set<MemberId> suspects() {
    return suspects;
  }

  // Granting a request may end others synchronously and call this method again. The outer call then
  // makes another pass.
  private void grantPending() {
    if (waitingRequests.isEmpty()) {
      return;
    }
    if (granting) {
      grantAgain = true;
      return;
    }
    granting = true;
    try {
      do {
        grantAgain = false;
        grantWaitingRequests();
      } while (grantAgain);
    } finally {
      granting = false;
    }
  }

  private void grantWaitingRequests() {
    if (isEvacuated()) {
      waitingRequests.refuseAll(refusalReason());
      return;
    }
    waitingRequests.grant(this::tryTake, this::idleConnections, nowNanos());
  }

  private String refusalReason() {
    if (isEvacuated()) {
      return "all members are in failure domains that are evacuated";
    }
    return primary().isEmpty() ? "no primary is known" : "no connection became free in time";
  }

  private List<WaitingRequests.Idle> idleConnections() {
    List<WaitingRequests.Idle> idle = new ArrayList<>();
    for (MemberPool pool : pools.values()) {
      for (PooledConnection c : pool.idleConnections()) {
        idle.add(new WaitingRequests.Idle(c.organisation(), !c.isUsed()));
      }
    }
    return idle;
  }

  private Optional<Lease> tryTake(LeaseRequest request, boolean mayOpen) {
    Optional<LogPosition> requiredPosition = requiredPosition(request);
    if (requiredPosition.isEmpty()) {
      List<MemberPool> candidates = primary().map(List::of).orElse(List.of());
      return takeFrom(request, candidates, requiredPosition, Duration.ZERO, mayOpen);
    }
    Duration timeSinceReached = history.timeSinceReached(requiredPosition.get(), clock.read());
    List<MemberPool> ranked =
        ranking.rank(pools.values(), primary(), request, requiredPosition.get(), timeSinceReached);
    boolean replicaMayServe =
        ranked.stream()
            .anyMatch(
                pool ->
                    !pool.canServeWrites()
                        && !pool.isFailing()
                        && !request.avoids(pool)
                        && !pool.isBehind(requiredPosition.get(), timeSinceReached));
    List<MemberPool> candidates =
        ranked.stream().filter(pool -> !replicaMayServe || maySendRead(pool)).toList();
    return takeFrom(request, candidates, requiredPosition, timeSinceReached, mayOpen);
  }

  /**
   * Returns whether a read may go to a member. With the fair queue, reads that replicas can serve
   * leave half of the primary's connections to the statements that only the primary can serve.
   */
  private boolean maySendRead(MemberPool pool) {
    if (openingOrder.isEmpty() || !pool.canServeWrites()) {
      return true;
    }
    int inUse = pool.leasedConnections() + pool.openingConnections();
    return !waitingRequests.needsPrimary() && 2 * (inUse + 1) <= connectionsPerMember;
  }

  /** Returns the position that a read requires; empty if only a confirmed primary may serve it. */
  private Optional<LogPosition> requiredPosition(LeaseRequest request) {
    return request
        .requirement()
        .maxStaleness()
        .flatMap(age -> history.oldestWithin(age.minus(STALENESS_MARGIN), clock.read()))
        .map(position -> LogPosition.max(position, request.requirement().sessionPosition().get()));
  }

  private Optional<Lease> takeFrom(
      LeaseRequest request,
      List<MemberPool> candidates,
      Optional<LogPosition> requiredPosition,
      Duration timeSinceReached,
      boolean mayOpen) {
    for (MemberPool pool : candidates) {
      if (pool.isCold() && pool.isAtColdLimit(clock.read().wallClockMillis())) {
        continue;
      }
      Optional<PooledConnection> connection = pool.tryLease(request);
      if (connection.isPresent()) {
        pool.countRequest();
        measurements.onGranted(pool, nowNanos());
        recordOpening(pool, request);
        return Optional.of(new Lease(connection.get(), requiredPosition, timeSinceReached));
      }
      if (mayOpen && ensureOpening(pool, request)) {
        request.awaitConnectionOf(pool, nowNanos());
        return Optional.empty();
      }
    }
    return Optional.empty();
  }

  private void recordOpening(MemberPool pool, LeaseRequest request) {
    long now = nowNanos();
    long awaited = request.awaitedNanos(pool, now);
    waitingRequests.recordOpening(awaited, now);
    if (awaited > 0) {
      openingOrder.ifPresent(order -> order.recordOpening(awaited, now));
    }
  }

  /**
   * Opens a connection for a request, unless the request awaits one already: a member whose only
   * connection is being opened looks full, so the request would otherwise open one at each member.
   * Returns whether the pool is opening one that the request may await.
   */
  private boolean ensureOpening(MemberPool pool, LeaseRequest request) {
    if (pool.isConnecting(request.organisation())) {
      return !request.avoids(pool);
    }
    request.avoidSlowConnection(nowNanos());
    return !request.awaitsConnection()
        && openingOrder.map(order -> order.mayOpen(pool, request, nowNanos())).orElse(true)
        && pool.tryOpen(request.organisation());
  }

  /** Refuses expired requests, detects unresponsive members, and samples the primary's position. */
  public void tick() {
    long now = nowNanos();
    pools.values().forEach(pool -> pool.tick(lastOrganisation, now));
    retiredPools.forEach(pool -> pool.tick(Optional.empty(), now));
    retiredPools.removeIf(MemberPool::isTerminated);
    updateSuspects();
    updatePrimary();
    measurements.tick(pools.values(), primary(), now);
    updateOutages();
    inquiries.forEach(inquiry -> inquiry.tick(pools, now));
    inquiries.removeIf(inquiry -> inquiry.result().isDone());
    sampleIfDue();
    waitingRequests.tick(now);
    grantPending();
  }

  private void updateOutages() {
    long now = nowNanos();
    boolean hasPrimary = primary().isPresent();
    primaryOutage.update(hasPrimary, now);
    outage.update(hasPrimary || pools.values().stream().anyMatch(MemberPool::acceptsReads), now);
  }

  private void updateSuspects() {
    if (suspects.isEmpty() && pools.values().stream().noneMatch(MemberPool::isSuspect)) {
      return;
    }
    Set<MemberId> suspected = new HashSet<>();
    for (MemberPool pool : pools.values()) {
      if (pool.isSuspect()) {
        suspected.add(pool.member().id());
      }
    }
    if (!suspected.equals(suspects)) {
      suspects = Set.copyOf(suspected);
      log.stateChange("suspects").with("service", service).with("members", suspects).write();
    }
  }

  private void updatePrimary() {
    Optional<MemberId> current = primary().map(pool -> pool.member().id());
    if (!current.equals(lastPrimary)) {
      lastPrimary = current;
      log.stateChange("primary")
          .with("service", service)
          .with("member", current.map(MemberId::name).orElse("none"))
          .write();
    }
  }

  private void sampleIfDue() {
    ClockReading now = clock.read();
    boolean recent =
        history.newestAge(now).filter(age -> age.compareTo(SAMPLE_INTERVAL) < 0).isPresent();
    if (recent || sampleInFlight) {
      return;
    }
    primary().flatMap(MemberPool::tryLeaseAny).ifPresent(this::samplePosition);
  }

  private void samplePosition(PooledConnection connection) {
    sampleInFlight = true;
    PositionSample sample = new PositionSample(connection, clock.read());
    connection.send(new TargetCommand.Begin(false, Optional.empty()), false, sample.onBegin());
    connection.send(new TargetCommand.Rollback(), false, sample.onRollback());
    connection.flush();
  }

  /**
   * Asks a primary for its position: only a primary begins a transaction that may write. The
   * position is that of the rollback, whose reply can't be an earlier one of the transaction.
   */
  private final class PositionSample {
    private final PooledConnection connection;
    private final ClockReading requestedAt;
    private boolean begun;

    private PositionSample(PooledConnection connection, ClockReading requestedAt) {
      this.connection = connection;
      this.requestedAt = requestedAt;
    }

    private ReplyHandler onBegin() {
      return new ReplyHandler() {
        @Override
        public void replied(TargetReply reply) {
          begun = reply.succeeded();
        }

        @Override
        public void lost(String reason) {}
      };
    }

    private ReplyHandler onRollback() {
      return new ReplyHandler() {
        @Override
        public void replied(TargetReply reply) {
          sampleInFlight = false;
          if (begun && reply.succeeded()) {
            reply.position().ifPresent(position -> recordPosition(requestedAt, position));
          }
          // Not measured: a sample takes no slot, and the time that it takes says nothing on
          // others.
          connection.pool().release(connection);
        }

        @Override
        public void lost(String reason) {
          sampleInFlight = false;
        }
      };
    }
  }
}
