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

/** Routes requests for one database to its members, and keeps those that wait for one. */
final class DatabaseTraffic implements MemberTraffic.Handover {

  private static final int MAX_REROUTES_PER_PASS = 100_000;

  private static final Duration PAUSE_AFTER_STALE_ANSWER = Duration.ofMillis(10);

  private final DatabaseId database;
  private final TrafficContext context;
  private final StatementRouter router;
  private final Map<MemberId, MemberTraffic> members = new ConcurrentHashMap<>();
  private final Object lock = new Object();
  private final List<Waiting> waiting = new ArrayList<>();

  /**
   * A request that waits for a primary, or for a member to reach a position.
   *
   * @param forProof whether it waits for a position that was proved after it arrived
   */
  private record Waiting(
      LeaseRequest request,
      long untilNanos,
      Optional<MemberId> member,
      LogPosition position,
      boolean forProof) {

    boolean isReached(GroupView view) {
      if (forProof) {
        return view.positionAsOf(request.arrivedNanos()).isPresent();
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

  DatabaseTraffic(DatabaseId database, TrafficContext context) {
    this.database = database;
    this.context = context;
    this.router = new StatementRouter(this::outstanding);
  }

  private int outstanding(MemberView view) {
    MemberTraffic traffic = members.get(view.member());
    return traffic == null ? 0 : traffic.outstanding();
  }

  int outstanding(MemberId member) {
    MemberTraffic traffic = members.get(member);
    return traffic == null ? 0 : traffic.outstanding();
  }

  /** Routes a request and runs the work on a worker, or fails with an {@link OutcomeException}. */
  <T> CompletableFuture<T> run(LeaseRequest request, Function<Lease, T> work) {
    // The work is attached first, or it could run on the calling thread.
    CompletableFuture<T> result =
        request
            .lease()
            .thenApply(work)
            .exceptionallyCompose(
                failure ->
                    isStale(failure)
                        ? runAgain(request, work)
                        : CompletableFuture.failedFuture(failure));
    route(request);
    return result;
  }

  private static boolean isStale(Throwable failure) {
    return failure instanceof StaleAnswerException
        || failure.getCause() instanceof StaleAnswerException;
  }

  /** Routes a read again, after a pause in which the control side learns of the member's state. */
  private <T> CompletableFuture<T> runAgain(LeaseRequest request, Function<Lease, T> work) {
    CompletableFuture<T> result = new CompletableFuture<>();
    context.control().askMembers(database);
    context
        .scheduler()
        .after(
            PAUSE_AFTER_STALE_ANSWER,
            () -> {
              CompletableFuture<T> unused =
                  run(request.again(), work)
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
      MemberTraffic.refuse(request, NotRunReason.DEADLINE, "the caller is gone");
      return;
    }
    long now = System.nanoTime();
    if (now - request.deadlineNanos() >= 0) {
      MemberTraffic.refuse(request, NotRunReason.DEADLINE, "while waiting for a member");
      return;
    }
    ControlSnapshot snapshot = context.control().snapshot();
    GroupView view = snapshot.groups().get(database);
    if (view == null) {
      await(request, request.deadlineNanos(), Optional.empty(), LogPosition.START);
      return;
    }
    dispatch(request, view, decide(request, view), now);
  }

  private RouteDecision decide(LeaseRequest request, GroupView view) {
    if (request.need().isEmpty()) {
      return router.routeWrite(view, request.floor());
    }
    RandomGenerator random = ThreadLocalRandom.current();
    return request.waited()
        ? router.routeReadAfterWait(
            view, request.need().get(), request.rule(), request.arrivedNanos(), random)
        : router.routeRead(
            view, request.need().get(), request.rule(), request.arrivedNanos(), random);
  }

  private void dispatch(LeaseRequest request, GroupView view, RouteDecision decision, long now) {
    if (decision instanceof RouteDecision.Run run) {
      request.setTerm(view.term());
      request.setChoice(run.requiredPosition(), incarnation(view, run.member()));
      MemberTraffic member = members.get(run.member());
      if (member == null) {
        await(request, request.deadlineNanos(), Optional.empty(), LogPosition.START);
      } else {
        member.offer(request);
      }
    } else if (decision instanceof RouteDecision.WaitForPosition wait) {
      request.setWaited();
      request.setWaitKind(TrafficMetrics.Wait.REPLICA);
      long until = Math.min(request.deadlineNanos() - now, wait.maxWait().toNanos()) + now;
      await(request, until, Optional.of(wait.member()), wait.position());
      // Waits for a replica are shorter than the regular tick.
      context.scheduler().after(Duration.ofNanos(until - now), () -> tick(System.nanoTime()));
    } else if (decision instanceof RouteDecision.WaitForPrimary) {
      request.setWaitKind(TrafficMetrics.Wait.PRIMARY);
      await(request, request.deadlineNanos(), Optional.empty(), LogPosition.START);
    } else if (decision instanceof RouteDecision.AskMembers) {
      request.setWaited();
      request.setWaitKind(TrafficMetrics.Wait.PROOF);
      // It waits before the members are asked, or the answers could come first.
      if (await(
          new Waiting(
              request, request.deadlineNanos(), Optional.empty(), LogPosition.START, true))) {
        context.control().askMembers(database);
      }
    } else if (decision instanceof RouteDecision.Refuse refuse) {
      MemberTraffic.refuse(request, refuse.reason(), "no member can serve it");
    }
  }

  private void await(
      LeaseRequest request, long until, Optional<MemberId> member, LogPosition position) {
    boolean unused = await(new Waiting(request, until, member, position, false));
  }

  /** Returns false if the request was refused because too many wait. */
  private boolean await(Waiting entry) {
    synchronized (lock) {
      if (waiting.size() < context.settings().maxQueuedRequests()) {
        waiting.add(entry);
        return true;
      }
    }
    MemberTraffic.refuse(
        entry.request(), NotRunReason.NO_CAPACITY, "too many requests wait for a member");
    return false;
  }

  void onSnapshot(ControlSnapshot snapshot) {
    Optional<DatabaseDefinition> definition =
        snapshot.configuration().flatMap(configuration -> configuration.database(database));
    GroupView view = snapshot.groups().get(database);
    definition.ifPresent(found -> updateMembers(snapshot, found, view));
    wake(view);
  }

  private void updateMembers(
      ControlSnapshot snapshot, DatabaseDefinition definition, GroupView view) {
    for (MemberDefinition declared : definition.members()) {
      members
          .computeIfAbsent(
              declared.id(),
              id ->
                  new MemberTraffic(
                      database,
                      id,
                      definition.connections(),
                      definition.slots(),
                      snapshot.vms(),
                      context,
                      this))
          .onSnapshot(
              snapshot, declared.jdbcUrl(), definition.connections(), leaves(view, declared.id()));
    }
    List<MemberId> gone =
        members.keySet().stream()
            .filter(id -> definition.members().stream().noneMatch(item -> item.id().equals(id)))
            .toList();
    gone.forEach(this::remove);
    if (view != null) {
      rerouteFromUnusable(view);
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

  private static boolean leaves(GroupView view, MemberId member) {
    return view != null
        && view.members().stream().anyMatch(seen -> seen.member().equals(member) && seen.leaving());
  }

  private void remove(MemberId id) {
    MemberTraffic traffic = members.remove(id);
    if (traffic != null) {
      traffic.takeWaiting().forEach(this::route);
      traffic.close();
    }
  }

  /** Requests in the queue of a member that can serve nothing are routed again. */
  private void rerouteFromUnusable(GroupView view) {
    for (MemberView seen : view.members()) {
      MemberTraffic traffic = members.get(seen.member());
      if (traffic != null && (seen.leaving() || !seen.reachable()) && traffic.waiting() > 0) {
        traffic.takeWaiting().forEach(this::route);
      }
    }
  }

  private void wake(GroupView view) {
    if (view == null) {
      return;
    }
    takeWaiting(entry -> entry.isReached(view)).forEach(entry -> route(entry.request()));
  }

  /** Handles what has waited long enough; called every few milliseconds. */
  void tick(long now) {
    members.values().forEach(member -> member.expire(now));
    for (Waiting entry : takeWaiting(entry -> now - entry.untilNanos() >= 0)) {
      LeaseRequest request = entry.request();
      if (now - request.deadlineNanos() < 0) {
        route(request);
      } else {
        NotRunReason reason =
            entry.member().isEmpty() ? NotRunReason.NO_PRIMARY : NotRunReason.DEADLINE;
        MemberTraffic.refuse(request, reason, "until the end of the caller's time limit");
      }
    }
  }

  private List<Waiting> takeWaiting(Predicate<Waiting> condition) {
    List<Waiting> taken = new ArrayList<>();
    synchronized (lock) {
      if (waiting.isEmpty()) {
        return taken;
      }
      waiting.removeIf(
          entry -> taken.size() < MAX_REROUTES_PER_PASS && take(entry, condition, taken));
    }
    return taken;
  }

  private static boolean take(Waiting entry, Predicate<Waiting> condition, List<Waiting> taken) {
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
   * Completes a lease if the routing is still right and the organisation has a token; otherwise the
   * connection serves the next request meanwhile.
   */
  @Override
  public void grant(LeaseRequest request, MemberTraffic member, TargetConnection connection) {
    if (request.isAbandoned() || !isCurrent(request, member)) {
      member.giveBackUnused(request, connection);
      route(request);
      return;
    }
    if (!request.limited() || request.admitted()) {
      complete(request, member, connection);
      return;
    }
    CompletableFuture<Admission> admission =
        context.control().admit(request.organisation(), request.deadlineNanos());
    if (admission.isDone()) {
      onAdmission(request, admission.join(), Optional.of(connection), member);
      return;
    }
    member.giveBackUnused(request, connection);
    var unused =
        admission.whenComplete(
            (result, failure) -> {
              if (failure == null) {
                onAdmission(request, result, Optional.empty(), member);
              } else {
                MemberTraffic.refuse(request, NotRunReason.NOT_READY, "admission failed");
              }
            });
  }

  private boolean isCurrent(LeaseRequest request, MemberTraffic member) {
    if (!request.writes()) {
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
      MemberTraffic member) {
    if (admission instanceof Admission.Refused refused) {
      connection.ifPresent(held -> member.giveBackUnused(request, held));
      MemberTraffic.refuse(request, refused.reason(), refused.detail());
      return;
    }
    request.setAdmitted();
    if (connection.isPresent()) {
      complete(request, member, connection.get());
    } else {
      route(request);
    }
  }

  private void complete(LeaseRequest request, MemberTraffic member, TargetConnection connection) {
    GroupView view = context.control().snapshot().groups().get(database);
    boolean primary = view != null && view.primary().filter(member.member()::equals).isPresent();
    Lease lease = new Lease(member, request, connection, primary);
    context
        .metrics()
        .waited(
            request.waitKind(),
            Duration.of(
                System.nanoTime() - request.arrivedNanos(), TimeUnit.NANOSECONDS.toChronoUnit()));
    if (!request.lease().complete(lease)) {
      lease.release();
    }
  }

  int waiting() {
    int queued = members.values().stream().mapToInt(MemberTraffic::waiting).sum();
    synchronized (lock) {
      return queued + waiting.size();
    }
  }

  void close() {
    members.values().forEach(MemberTraffic::close);
  }
}
