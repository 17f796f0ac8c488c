package org.oleanderstep.proxy.internal.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.oleanderstep.core.configuration.DatabaseDefinition;
import org.oleanderstep.core.configuration.MemberDefinition;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.routing.GroupView;
import org.oleanderstep.core.routing.MemberView;
import org.oleanderstep.core.routing.RouteDecision;
import org.oleanderstep.core.routing.StatementRouter;
import org.oleanderstep.proxy.internal.traffic.Admission;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;
import org.oleanderstep.proxy.internal.traffic.TrafficMetrics;

/**
 * Routes requests for one database to the pools of its members, and holds requests that wait for a
 * primary, a log position or a confirmed position.
 *
 * <p>Thread-safe.
 */
final class DatabaseRequestRouter implements MemberPool.LeaseGranter {

  private static final int MAX_REROUTES_PER_CALL = 100_000;

  private static final Duration STALE_READ_RETRY_DELAY = Duration.ofMillis(10);

  private final DatabaseId database;
  private final TrafficContext context;
  private final StatementRouter router;
  private final Map<MemberId, MemberPool> pools = new ConcurrentHashMap<>();
  private final Object lock = new Object();
  private final List<WaitingRequest> waitingRequests = new ArrayList<>();

  /**
   * A request that waits for a primary, for a member to reach a position, or for a confirmed
   * position.
   *
   * @param member member that has to reach the position; empty to wait for a primary
   * @param forConfirmedPosition whether the request waits for a position that was confirmed after
   *     its arrival
   */
  private record WaitingRequest(
      LeaseRequest request,
      long waitUntilNanos,
      Optional<MemberId> member,
      LogPosition position,
      boolean forConfirmedPosition) {

    boolean isReady(GroupView view) {
      if (forConfirmedPosition) {
        return view.positionAsOf(request.arrivalNanos()).isPresent();
      }
      if (member.isEmpty()) {
        return view.primary().isPresent();
      }
      return view.members().stream()
          .anyMatch(
              seen ->
                  seen.member().equals(member.get()) && seen.applied().compareTo(position) >= 0);
    }
  }

  DatabaseRequestRouter(DatabaseId database, TrafficContext context) {
    this.database = database;
    this.context = context;
    this.router = new StatementRouter(this::outstanding);
  }

  private int outstanding(MemberView view) {
    MemberPool pool = pools.get(view.member());
    return pool == null ? 0 : pool.outstanding();
  }

  int outstanding(MemberId member) {
    MemberPool pool = pools.get(member);
    return pool == null ? 0 : pool.outstanding();
  }

  /**
   * Routes a request and runs the work on a worker thread; the future fails with an {@link
   * OutcomeException} if no connection is granted.
   */
  <T> CompletableFuture<T> run(LeaseRequest request, Function<Lease, T> work) {
    // The work is attached before routing; on a lease that is already complete it would run on the
    // calling thread.
    CompletableFuture<T> result =
        request
            .lease()
            .thenApply(work)
            .exceptionallyCompose(
                failure ->
                    isStale(failure)
                        ? retryAfterDelay(request, work)
                        : CompletableFuture.failedFuture(failure));
    route(request);
    return result;
  }

  private static boolean isStale(Throwable failure) {
    return failure instanceof StaleReadException
        || failure.getCause() instanceof StaleReadException;
  }

  /**
   * Routes a read again after a short delay, in which the control plane learns the current state of
   * the members.
   */
  private <T> CompletableFuture<T> retryAfterDelay(LeaseRequest request, Function<Lease, T> work) {
    CompletableFuture<T> result = new CompletableFuture<>();
    context.control().requestMemberStatus(database);
    context
        .scheduler()
        .after(
            STALE_READ_RETRY_DELAY,
            () -> {
              CompletableFuture<T> unused =
                  run(request.forRetry(), work)
                      .whenComplete(
                          (value, failure) -> {
                            if (failure == null) {
                              result.complete(value);
                            } else {
                              result.completeExceptionally(failure);
                            }
                          });
            });
    return result;
  }

  private void route(LeaseRequest request) {
    if (request.isAbandoned()) {
      MemberPool.refuse(request, NotRunReason.DEADLINE, "the caller has disconnected");
      return;
    }
    long now = System.nanoTime();
    if (now - request.deadlineNanos() >= 0) {
      MemberPool.refuse(
          request,
          NotRunReason.DEADLINE,
          "the deadline passed while the request waited for a member");
      return;
    }
    ControlSnapshot snapshot = context.control().snapshot();
    GroupView view = snapshot.groups().get(database);
    if (view == null) {
      enqueue(request, request.deadlineNanos(), Optional.empty(), LogPosition.START);
      return;
    }
    dispatch(request, view, decide(request, view), now);
  }

  private RouteDecision decide(LeaseRequest request, GroupView view) {
    if (request.requirement().isEmpty()) {
      return router.routeWrite(view, request.sessionPosition());
    }
    RandomGenerator random = ThreadLocalRandom.current();
    return request.hasWaited()
        ? router.routeReadAfterWait(
            view, request.requirement().get(), request.rule(), request.arrivalNanos(), random)
        : router.routeRead(
            view, request.requirement().get(), request.rule(), request.arrivalNanos(), random);
  }

  private void dispatch(LeaseRequest request, GroupView view, RouteDecision decision, long now) {
    if (decision instanceof RouteDecision.Run run) {
      request.setTerm(view.term());
      request.setRequiredState(run.requiredPosition(), incarnation(view, run.member()));
      MemberPool member = pools.get(run.member());
      if (member == null) {
        enqueue(request, request.deadlineNanos(), Optional.empty(), LogPosition.START);
      } else {
        member.offer(request);
      }
    } else if (decision instanceof RouteDecision.WaitForPosition wait) {
      request.setWaited();
      request.setWaitReason(TrafficMetrics.WaitReason.REPLICA);
      long until = Math.min(request.deadlineNanos() - now, wait.maxWait().toNanos()) + now;
      enqueue(request, until, Optional.of(wait.member()), wait.position());
      // The wait for a replica can be shorter than the tick interval.
      context.scheduler().after(Duration.ofNanos(until - now), () -> tick(System.nanoTime()));
    } else if (decision instanceof RouteDecision.WaitForPrimary) {
      request.setWaitReason(TrafficMetrics.WaitReason.PRIMARY);
      enqueue(request, request.deadlineNanos(), Optional.empty(), LogPosition.START);
    } else if (decision instanceof RouteDecision.AskMembers) {
      request.setWaited();
      request.setWaitReason(TrafficMetrics.WaitReason.PROOF);
      // The request is enqueued before the members are asked; otherwise a reply could arrive before
      // the request waits for it.
      if (enqueue(
          new WaitingRequest(
              request, request.deadlineNanos(), Optional.empty(), LogPosition.START, true))) {
        context.control().requestMemberStatus(database);
      }
    } else if (decision instanceof RouteDecision.Refuse refuse) {
      MemberPool.refuse(request, refuse.reason(), "no member can serve the request");
    }
  }

  private void enqueue(
      LeaseRequest request, long until, Optional<MemberId> member, LogPosition position) {
    boolean unused = enqueue(new WaitingRequest(request, until, member, position, false));
  }

  /** Returns false if the request was refused because the queue is full. */
  private boolean enqueue(WaitingRequest entry) {
    synchronized (lock) {
      if (waitingRequests.size() < context.settings().maxQueuedRequests()) {
        waitingRequests.add(entry);
        return true;
      }
    }
    MemberPool.refuse(
        entry.request(),
        NotRunReason.NO_CAPACITY,
        "the queue of requests that wait for a member is full");
    return false;
  }

  void onSnapshot(ControlSnapshot snapshot) {
    Optional<DatabaseDefinition> definition =
        snapshot.configuration().flatMap(configuration -> configuration.database(database));
    GroupView view = snapshot.groups().get(database);
    definition.ifPresent(found -> updateMembers(snapshot, found, view));
    rerouteReady(view);
  }

  private void updateMembers(
      ControlSnapshot snapshot, DatabaseDefinition definition, GroupView view) {
    for (MemberDefinition declared : definition.members()) {
      pools
          .computeIfAbsent(
              declared.id(),
              id ->
                  new MemberPool(
                      database,
                      id,
                      definition.connections(),
                      definition.slots(),
                      snapshot.vmCount(),
                      context,
                      this))
          .onSnapshot(
              snapshot,
              declared.jdbcUrl(),
              definition.connections(),
              isLeaving(view, declared.id()));
    }
    List<MemberId> removed =
        pools.keySet().stream()
            .filter(id -> definition.members().stream().noneMatch(item -> item.id().equals(id)))
            .toList();
    removed.forEach(this::removeMember);
    if (view != null) {
      rerouteFromUnusableMembers(view);
    }
  }

  private static String incarnation(GroupView view, MemberId member) {
    List<MemberView> seen = view.members();
    for (int i = 0; i < seen.size(); i++) {
      if (seen.get(i).member().equals(member)) {
        return seen.get(i).incarnation();
      }
    }
    return "";
  }

  private static boolean isLeaving(GroupView view, MemberId member) {
    return view != null
        && view.members().stream().anyMatch(seen -> seen.member().equals(member) && seen.leaving());
  }

  private void removeMember(MemberId id) {
    MemberPool pool = pools.remove(id);
    if (pool != null) {
      pool.drainQueue().forEach(this::route);
      pool.close();
    }
  }

  /** Routes requests again that are queued at members which are leaving or unreachable. */
  private void rerouteFromUnusableMembers(GroupView view) {
    for (MemberView seen : view.members()) {
      MemberPool pool = pools.get(seen.member());
      if (pool != null && (seen.leaving() || !seen.reachable()) && pool.queuedRequests() > 0) {
        pool.drainQueue().forEach(this::route);
      }
    }
  }

  private void rerouteReady(GroupView view) {
    if (view == null) {
      return;
    }
    removeWaiting(entry -> entry.isReady(view)).forEach(entry -> route(entry.request()));
  }

  /** Routes or refuses requests whose wait has ended; called every few milliseconds. */
  void tick(long now) {
    pools.values().forEach(member -> member.refuseExpired(now));
    for (WaitingRequest entry : removeWaiting(entry -> now - entry.waitUntilNanos() >= 0)) {
      LeaseRequest request = entry.request();
      if (now - request.deadlineNanos() < 0) {
        route(request);
      } else {
        NotRunReason reason =
            entry.member().isEmpty() ? NotRunReason.NO_PRIMARY : NotRunReason.DEADLINE;
        MemberPool.refuse(
            request, reason, "the deadline passed before a suitable member was available");
      }
    }
  }

  private List<WaitingRequest> removeWaiting(Predicate<WaitingRequest> condition) {
    List<WaitingRequest> taken = new ArrayList<>();
    synchronized (lock) {
      if (waitingRequests.isEmpty()) {
        return taken;
      }
      waitingRequests.removeIf(
          entry -> taken.size() < MAX_REROUTES_PER_CALL && addIfMatching(entry, condition, taken));
    }
    return taken;
  }

  private static boolean addIfMatching(
      WaitingRequest entry, Predicate<WaitingRequest> condition, List<WaitingRequest> taken) {
    if (!condition.test(entry)) {
      return false;
    }
    taken.add(entry);
    return true;
  }

  @Override
  public void reroute(LeaseRequest request) {
    route(request);
  }

  /**
   * Completes a lease if its routing is still valid and the organisation has a token. Otherwise the
   * connection goes back to the pool, so that it serves other requests in the meantime.
   */
  @Override
  public void grant(LeaseRequest request, MemberPool member, TargetConnection connection) {
    if (request.isAbandoned() || !isCurrent(request, member)) {
      member.releaseUnused(request, connection);
      route(request);
      return;
    }
    if (!request.rateLimited() || request.isAdmitted()) {
      completeLease(request, member, connection);
      return;
    }
    CompletableFuture<Admission> admission =
        context.control().admit(request.organisation(), request.deadlineNanos());
    if (admission.isDone()) {
      onAdmission(request, admission.join(), Optional.of(connection), member);
      return;
    }
    member.releaseUnused(request, connection);
    var unused =
        admission.whenComplete(
            (result, failure) -> {
              if (failure == null) {
                onAdmission(request, result, Optional.empty(), member);
              } else {
                MemberPool.refuse(request, NotRunReason.NOT_READY, "the admission check failed");
              }
            });
  }

  private boolean isCurrent(LeaseRequest request, MemberPool member) {
    if (!request.isWrite()) {
      return true;
    }
    GroupView view = context.control().snapshot().groups().get(database);
    return view != null
        && view.term() == request.term()
        && view.primary().filter(member.member()::equals).isPresent();
  }

  private void onAdmission(
      LeaseRequest request,
      Admission admission,
      Optional<TargetConnection> connection,
      MemberPool member) {
    if (admission instanceof Admission.Refused refused) {
      connection.ifPresent(held -> member.releaseUnused(request, held));
      MemberPool.refuse(request, refused.reason(), refused.detail());
      return;
    }
    request.setAdmitted();
    if (connection.isPresent()) {
      completeLease(request, member, connection.get());
    } else {
      route(request);
    }
  }

  private void completeLease(LeaseRequest request, MemberPool member, TargetConnection connection) {
    GroupView view = context.control().snapshot().groups().get(database);
    boolean primary = view != null && view.primary().filter(member.member()::equals).isPresent();
    Lease lease = new Lease(member, request, connection, primary);
    context
        .metrics()
        .recordWait(
            request.waitReason(),
            Duration.of(
                System.nanoTime() - request.arrivalNanos(), TimeUnit.NANOSECONDS.toChronoUnit()));
    if (!request.lease().complete(lease)) {
      lease.release();
    }
  }

  int waitingRequests() {
    int queued = pools.values().stream().mapToInt(MemberPool::queuedRequests).sum();
    synchronized (lock) {
      return queued + waitingRequests.size();
    }
  }

  void close() {
    pools.values().forEach(MemberPool::close);
  }
}
