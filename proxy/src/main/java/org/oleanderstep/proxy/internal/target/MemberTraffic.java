package org.oleanderstep.proxy.internal.target;

import java.sql.SQLException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.scheduling.ConcurrencyLimit;
import org.oleanderstep.core.scheduling.ConnectionBudget;
import org.oleanderstep.core.scheduling.FairQueue;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;
import org.oleanderstep.proxy.internal.traffic.TrafficEvent;

/**
 * Connections of this proxy to one member, and the requests that wait for one.
 *
 * <p>The lock guards queue, budget, limit and idle connections; JDBC calls run outside of it.
 */
final class MemberTraffic {

  private static final Logger LOG = LogManager.getLogger(MemberTraffic.class);
  private static final Duration OPEN_LIMIT = Duration.ofSeconds(3);
  private static final Duration RESET_LIMIT = Duration.ofSeconds(2);
  // Opening connections costs a target much more than a statement.
  private static final int MAX_OPENING = 2;
  private static final int WARM_CONNECTIONS = 2;

  private final DatabaseId database;
  private final MemberId member;
  private final TrafficContext context;
  private final Handover handover;
  private final Object lock = new Object();
  private final FairQueue<LeaseRequest> queue;
  private final ConnectionBudget budget;
  private final ConcurrencyLimit limit;
  private final Deque<TargetConnection> idle = new ArrayDeque<>();
  private final Set<TargetConnection> leased = ConcurrentHashMap.newKeySet();
  private final AtomicInteger outstanding = new AtomicInteger();
  private int memberConnections;
  private int vms;
  private int opening;
  private String jdbcUrl;
  private String incarnation = "";
  private boolean leaving;
  private boolean closed;

  /** Takes requests back whose routing has become stale, or that must be admitted later. */
  interface Handover {

    /** Routes a request again. */
    void reroute(LeaseRequest request);

    /** Admits a request and completes its lease; called on a worker with a connection in hand. */
    void grant(LeaseRequest request, MemberTraffic member, TargetConnection connection);
  }

  MemberTraffic(
      DatabaseId database,
      MemberId member,
      int connections,
      int slots,
      int vms,
      TrafficContext context,
      Handover handover) {
    this.database = database;
    this.member = member;
    this.memberConnections = connections;
    this.vms = vms;
    this.context = context;
    this.handover = handover;
    this.queue = new FairQueue<>(context.settings().maxQueuedRequests());
    this.budget = new ConnectionBudget(connections, vms);
    this.limit = new ConcurrencyLimit(slots);
  }

  MemberId member() {
    return member;
  }

  int outstanding() {
    return outstanding.get();
  }

  /** Adopts a snapshot and closes idle connections that do not fit it any more. */
  void onSnapshot(ControlSnapshot snapshot, String url, int connections, boolean memberLeaves) {
    List<TargetConnection> stale = new ArrayList<>();
    List<TargetConnection> broken = new ArrayList<>();
    synchronized (lock) {
      if (connections != memberConnections || snapshot.vms() != vms) {
        memberConnections = connections;
        vms = snapshot.vms();
        budget.resize(connections, vms);
      }
      snapshot
          .configuration()
          .ifPresent(
              configuration ->
                  configuration
                      .declarations()
                      .organisations()
                      .forEach(item -> queue.setWeight(item.id(), item.ratePerSecond())));
      String reported = snapshot.incarnations().getOrDefault(member, "");
      boolean rebuilt = !reported.isEmpty() && !reported.equals(incarnation);
      if (rebuilt || !url.equals(jdbcUrl) || memberLeaves) {
        stale.addAll(idle);
        idle.clear();
      }
      if (rebuilt && !incarnation.isEmpty()) {
        broken.addAll(leased);
      }
      incarnation = reported.isEmpty() ? incarnation : reported;
      jdbcUrl = url;
      leaving = memberLeaves;
    }
    broken.forEach(TargetConnection::abort);
    closeLater(stale);
    pump();
    warm();
  }

  /** Adds a request, or refuses it when its queue is full. */
  void offer(LeaseRequest request) {
    boolean accepted;
    synchronized (lock) {
      accepted = !closed && queue.offer(request.organisation(), request, request.deadlineNanos());
    }
    if (accepted) {
      pump();
    } else {
      refuse(request, NotRunReason.NO_CAPACITY, "the queue of the organisation is full");
    }
  }

  /** Starts as many waiting requests as connections and slots allow. */
  private void pump() {
    List<Runnable> starts = new ArrayList<>(1);
    synchronized (lock) {
      Optional<Runnable> next = nextStart();
      while (next.isPresent()) {
        starts.add(next.get());
        next = nextStart();
      }
    }
    starts.forEach(this::execute);
  }

  private Optional<Runnable> nextStart() {
    if (closed || incarnation.isEmpty() || jdbcUrl == null || limit.inFlight() >= limit.limit()) {
      return Optional.empty();
    }
    if (idle.isEmpty() && opening >= MAX_OPENING) {
      return Optional.empty();
    }
    Optional<LeaseRequest> next =
        queue.poll(
            System.nanoTime(),
            organisation -> budget.mayAcquire(organisation, queue.othersWait(organisation)));
    if (next.isEmpty()) {
      return Optional.empty();
    }
    LeaseRequest request = next.get();
    if (!budget.tryAcquire(request.organisation(), queue.othersWait(request.organisation()))) {
      throw new IllegalStateException("the queue passed a request over the connection budget");
    }
    limit.tryStart();
    outstanding.incrementAndGet();
    TargetConnection connection = idle.pollFirst();
    if (connection == null) {
      opening++;
      String url = jdbcUrl;
      String current = incarnation;
      return Optional.of(() -> openAndGrant(request, url, current));
    }
    leased.add(connection);
    return Optional.of(() -> handover.grant(request, this, connection));
  }

  private void execute(Runnable start) {
    try {
      context.workers().execute(start);
    } catch (RejectedExecutionException e) {
      LOG.warn("no worker is free for member {}", member);
      start.run();
    }
  }

  private void openAndGrant(LeaseRequest request, String url, String current) {
    Optional<TargetConnection> opened = open(url, current);
    if (opened.isEmpty()) {
      synchronized (lock) {
        opening--;
        limit.end(0, true, System.nanoTime());
        budget.release(request.organisation());
      }
      outstanding.decrementAndGet();
      context.scheduler().after(Duration.ofMillis(20), () -> handover.reroute(request));
      return;
    }
    synchronized (lock) {
      opening--;
      leased.add(opened.get());
    }
    handover.grant(request, this, opened.get());
    pump();
  }

  private Optional<TargetConnection> open(String url, String current) {
    try {
      return Optional.of(
          TargetConnection.open(member, current, url, context.account(), OPEN_LIMIT));
    } catch (SQLException | RuntimeException e) {
      LOG.warn("no connection to member {}: {}", member, e.getClass().getSimpleName());
      context.control().report(new TrafficEvent.MemberConnectionFailed(database, member, current));
      return Optional.empty();
    }
  }

  /** Opens connections ahead of demand. */
  private void warm() {
    String url;
    String current;
    synchronized (lock) {
      int wanted = Math.min(WARM_CONNECTIONS, budget.maxConnections());
      int present = idle.size() + leased.size() + opening;
      if (closed || leaving || incarnation.isEmpty() || opening > 0 || present >= wanted) {
        return;
      }
      opening++;
      url = jdbcUrl;
      current = incarnation;
    }
    execute(
        () -> {
          Optional<TargetConnection> opened = open(url, current);
          Optional<TargetConnection> unwanted = Optional.empty();
          synchronized (lock) {
            opening--;
            if (opened.isPresent()
                && !closed
                && idle.size() + leased.size() < budget.maxConnections()) {
              idle.addFirst(opened.get());
            } else {
              unwanted = opened;
            }
          }
          unwanted.ifPresent(TargetConnection::close);
          if (opened.isPresent()) {
            pump();
            warm();
          }
        });
  }

  boolean tryStart() {
    synchronized (lock) {
      return limit.tryStart();
    }
  }

  void endStatement(long latencyNanos, boolean dropped) {
    synchronized (lock) {
      limit.end(latencyNanos, dropped, System.nanoTime());
    }
    pump();
  }

  /** Takes a connection back from a lease; the answer to the caller does not wait for a reset. */
  void takeBack(Lease lease) {
    if (lease.connection().isReset()) {
      resetAndGiveBack(lease);
    } else {
      execute(() -> resetAndGiveBack(lease));
    }
  }

  private void resetAndGiveBack(Lease lease) {
    TargetConnection connection = lease.connection();
    boolean clean = connection.reset(RESET_LIMIT);
    giveBack(lease.organisation(), connection, clean);
  }

  /** Takes a connection back that was not used. */
  void giveBackUnused(LeaseRequest request, TargetConnection connection) {
    synchronized (lock) {
      limit.end(0, false, System.nanoTime());
    }
    giveBack(request.organisation(), connection, true);
  }

  private void giveBack(OrganisationId organisation, TargetConnection connection, boolean clean) {
    boolean keep;
    synchronized (lock) {
      leased.remove(connection);
      budget.release(organisation);
      keep =
          clean
              && !closed
              && !leaving
              && connection.incarnation().equals(incarnation)
              && idle.size() + leased.size() < budget.maxConnections();
      if (keep) {
        idle.addFirst(connection);
      }
    }
    outstanding.decrementAndGet();
    if (!keep) {
      closeLater(List.of(connection));
    }
    pump();
  }

  private void closeLater(List<TargetConnection> connections) {
    if (!connections.isEmpty()) {
      execute(() -> connections.forEach(TargetConnection::close));
    }
  }

  /** Refuses requests whose deadline has passed, and drops those whose caller is gone. */
  void expire(long now) {
    List<LeaseRequest> late;
    synchronized (lock) {
      late = queue.removeExpired(now);
    }
    late.forEach(request -> refuse(request, NotRunReason.DEADLINE, "while waiting in the queue"));
  }

  /** Takes all waiting requests out, for routing them again. */
  List<LeaseRequest> takeWaiting() {
    synchronized (lock) {
      return queue.drain();
    }
  }

  int waiting() {
    synchronized (lock) {
      return queue.size();
    }
  }

  static void refuse(LeaseRequest request, NotRunReason reason, String detail) {
    request.lease().completeExceptionally(OutcomeException.notRun(reason, detail));
  }

  void close() {
    List<TargetConnection> all;
    synchronized (lock) {
      closed = true;
      all = new ArrayList<>(idle);
      idle.clear();
    }
    leased.forEach(TargetConnection::abort);
    all.addAll(leased);
    all.forEach(TargetConnection::close);
  }
}
