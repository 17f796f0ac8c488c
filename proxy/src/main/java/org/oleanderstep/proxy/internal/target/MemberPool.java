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
 * Pool of the connections of this proxy to one member, with the queue of requests that wait for
 * one.
 *
 * <p>Thread-safe. The lock guards the queue, the connection budget, the concurrency limit and the
 * idle connections; JDBC calls run outside of it.
 */
final class MemberPool {

  private static final Logger LOG = LogManager.getLogger(MemberPool.class);
  private static final Duration OPEN_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration RESET_TIMEOUT = Duration.ofSeconds(2);
  // Opening a connection costs a target much more than a statement, so few are opened at once.
  private static final int MAX_CONCURRENT_OPENS = 2;
  private static final int MIN_OPEN_CONNECTIONS = 2;

  private final DatabaseId database;
  private final MemberId member;
  private final TrafficContext context;
  private final LeaseGranter leaseGranter;
  private final Object lock = new Object();
  private final FairQueue<LeaseRequest> queue;
  private final ConnectionBudget connectionBudget;
  private final ConcurrencyLimit concurrencyLimit;
  private final Deque<TargetConnection> idle = new ArrayDeque<>();
  private final Set<TargetConnection> leased = ConcurrentHashMap.newKeySet();
  private final AtomicInteger outstanding = new AtomicInteger();
  private int memberConnections;
  private int vmCount;
  private int openingConnections;
  private String jdbcUrl;
  private String incarnation = "";
  private boolean leaving;
  private boolean closed;

  /**
   * Grants leases on connections of the pool, and takes back requests that must be routed again.
   */
  interface LeaseGranter {

    /** Routes a request again. */
    void reroute(LeaseRequest request);

    /**
     * Admits a request and completes its lease; called on a worker thread with a connection that
     * the request may use.
     */
    void grant(LeaseRequest request, MemberPool member, TargetConnection connection);
  }

  MemberPool(
      DatabaseId database,
      MemberId member,
      int connections,
      int slots,
      int vmCount,
      TrafficContext context,
      LeaseGranter leaseGranter) {
    this.database = database;
    this.member = member;
    this.memberConnections = connections;
    this.vmCount = vmCount;
    this.context = context;
    this.leaseGranter = leaseGranter;
    this.queue = new FairQueue<>(context.settings().maxQueuedRequests());
    this.connectionBudget = new ConnectionBudget(connections, vmCount);
    this.concurrencyLimit = new ConcurrencyLimit(slots);
  }

  MemberId member() {
    return member;
  }

  int outstanding() {
    return outstanding.get();
  }

  /**
   * Applies a snapshot. Idle connections to another incarnation or address, or to a leaving member,
   * are closed; connections that are leased on an earlier incarnation are aborted.
   */
  void onSnapshot(ControlSnapshot snapshot, String url, int connections, boolean memberLeaving) {
    List<TargetConnection> toClose = new ArrayList<>();
    List<TargetConnection> toAbort = new ArrayList<>();
    synchronized (lock) {
      if (connections != memberConnections || snapshot.vmCount() != vmCount) {
        memberConnections = connections;
        vmCount = snapshot.vmCount();
        connectionBudget.resize(connections, vmCount);
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
      if (rebuilt || !url.equals(jdbcUrl) || memberLeaving) {
        toClose.addAll(idle);
        idle.clear();
      }
      if (rebuilt && !incarnation.isEmpty()) {
        toAbort.addAll(leased);
      }
      incarnation = reported.isEmpty() ? incarnation : reported;
      jdbcUrl = url;
      leaving = memberLeaving;
    }
    toAbort.forEach(TargetConnection::abort);
    closeAsync(toClose);
    startQueuedRequests();
    openSpareConnections();
  }

  /** Adds a request, or refuses it when its queue is full. */
  void offer(LeaseRequest request) {
    boolean accepted;
    synchronized (lock) {
      accepted = !closed && queue.offer(request.organisation(), request, request.deadlineNanos());
    }
    if (accepted) {
      startQueuedRequests();
    } else {
      refuse(request, NotRunReason.NO_CAPACITY, "the queue of the organisation is full");
    }
  }

  /** Starts as many queued requests as connections and slots allow. */
  private void startQueuedRequests() {
    List<Runnable> starts = new ArrayList<>(1);
    synchronized (lock) {
      Optional<Runnable> next = pollNextStart();
      while (next.isPresent()) {
        starts.add(next.get());
        next = pollNextStart();
      }
    }
    starts.forEach(this::execute);
  }

  private Optional<Runnable> pollNextStart() {
    if (closed
        || incarnation.isEmpty()
        || jdbcUrl == null
        || concurrencyLimit.inFlight() >= concurrencyLimit.limit()) {
      return Optional.empty();
    }
    if (idle.isEmpty() && openingConnections >= MAX_CONCURRENT_OPENS) {
      return Optional.empty();
    }
    Optional<LeaseRequest> next =
        queue.poll(
            System.nanoTime(),
            organisation ->
                connectionBudget.mayAcquire(organisation, queue.othersWait(organisation)));
    if (next.isEmpty()) {
      return Optional.empty();
    }
    LeaseRequest request = next.get();
    if (!connectionBudget.tryAcquire(
        request.organisation(), queue.othersWait(request.organisation()))) {
      throw new IllegalStateException(
          "the queue returned a request that exceeds the connection budget");
    }
    concurrencyLimit.tryStart();
    outstanding.incrementAndGet();
    TargetConnection connection = idle.pollFirst();
    if (connection == null) {
      openingConnections++;
      String url = jdbcUrl;
      String current = incarnation;
      return Optional.of(() -> openAndGrant(request, url, current));
    }
    leased.add(connection);
    return Optional.of(() -> leaseGranter.grant(request, this, connection));
  }

  private void execute(Runnable start) {
    try {
      context.workers().execute(start);
    } catch (RejectedExecutionException e) {
      LOG.warn(
          "the worker pool rejected work for member {}; running it on the calling thread", member);
      start.run();
    }
  }

  private void openAndGrant(LeaseRequest request, String url, String current) {
    Optional<TargetConnection> opened = open(url, current);
    if (opened.isEmpty()) {
      synchronized (lock) {
        openingConnections--;
        concurrencyLimit.end(0, true, System.nanoTime());
        connectionBudget.release(request.organisation());
      }
      outstanding.decrementAndGet();
      context.scheduler().after(Duration.ofMillis(20), () -> leaseGranter.reroute(request));
      return;
    }
    synchronized (lock) {
      openingConnections--;
      leased.add(opened.get());
    }
    leaseGranter.grant(request, this, opened.get());
    startQueuedRequests();
  }

  private Optional<TargetConnection> open(String url, String current) {
    try {
      return Optional.of(
          TargetConnection.open(member, current, url, context.account(), OPEN_TIMEOUT));
    } catch (SQLException | RuntimeException e) {
      LOG.warn("no connection to member {}: {}", member, e.getClass().getSimpleName());
      context.control().report(new TrafficEvent.MemberConnectionFailed(database, member, current));
      return Optional.empty();
    }
  }

  /** Opens connections ahead of demand. */
  private void openSpareConnections() {
    String url;
    String current;
    synchronized (lock) {
      int wanted = Math.min(MIN_OPEN_CONNECTIONS, connectionBudget.maxConnections());
      int present = idle.size() + leased.size() + openingConnections;
      if (closed
          || leaving
          || incarnation.isEmpty()
          || openingConnections > 0
          || present >= wanted) {
        return;
      }
      openingConnections++;
      url = jdbcUrl;
      current = incarnation;
    }
    execute(
        () -> {
          Optional<TargetConnection> opened = open(url, current);
          Optional<TargetConnection> unwanted = Optional.empty();
          synchronized (lock) {
            openingConnections--;
            if (opened.isPresent()
                && !closed
                && idle.size() + leased.size() < connectionBudget.maxConnections()) {
              idle.addFirst(opened.get());
            } else {
              unwanted = opened;
            }
          }
          unwanted.ifPresent(TargetConnection::close);
          if (opened.isPresent()) {
            startQueuedRequests();
            openSpareConnections();
          }
        });
  }

  boolean tryStartStatement() {
    synchronized (lock) {
      return concurrencyLimit.tryStart();
    }
  }

  void endStatement(long latencyNanos, boolean dropped) {
    synchronized (lock) {
      concurrencyLimit.end(latencyNanos, dropped, System.nanoTime());
    }
    startQueuedRequests();
  }

  /**
   * Takes the connection of a lease back. A reset that needs a call to the member runs on a worker,
   * so that the response to the caller does not wait for it.
   */
  void release(Lease lease) {
    if (lease.connection().isInDefaultState()) {
      resetAndRelease(lease);
    } else {
      execute(() -> resetAndRelease(lease));
    }
  }

  private void resetAndRelease(Lease lease) {
    TargetConnection connection = lease.connection();
    boolean clean = connection.reset(RESET_TIMEOUT);
    returnToPool(lease.organisation(), connection, clean);
  }

  /** Takes a connection back that was not used. */
  void releaseUnused(LeaseRequest request, TargetConnection connection) {
    synchronized (lock) {
      concurrencyLimit.end(0, false, System.nanoTime());
    }
    returnToPool(request.organisation(), connection, true);
  }

  private void returnToPool(
      OrganisationId organisation, TargetConnection connection, boolean clean) {
    boolean keep;
    synchronized (lock) {
      leased.remove(connection);
      connectionBudget.release(organisation);
      keep =
          clean
              && !closed
              && !leaving
              && connection.incarnation().equals(incarnation)
              && idle.size() + leased.size() < connectionBudget.maxConnections();
      if (keep) {
        idle.addFirst(connection);
      }
    }
    outstanding.decrementAndGet();
    if (!keep) {
      closeAsync(List.of(connection));
    }
    startQueuedRequests();
  }

  private void closeAsync(List<TargetConnection> connections) {
    if (!connections.isEmpty()) {
      execute(() -> connections.forEach(TargetConnection::close));
    }
  }

  /** Refuses queued requests whose deadline has passed. */
  void refuseExpired(long now) {
    List<LeaseRequest> expired;
    synchronized (lock) {
      expired = queue.removeExpired(now);
    }
    expired.forEach(
        request ->
            refuse(
                request,
                NotRunReason.DEADLINE,
                "the deadline passed while the request waited in the queue"));
  }

  /** Removes and returns all queued requests, so that they can be routed again. */
  List<LeaseRequest> drainQueue() {
    synchronized (lock) {
      return queue.drain();
    }
  }

  int queuedRequests() {
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
