package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.oleanderstep.core.MonotonicClock;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.placement.MemberAccess;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.scheduling.ColdLimit;
import org.oleanderstep.core.scheduling.ColdShare;
import org.oleanderstep.gateway.control.TargetMember;
import org.oleanderstep.gateway.log.DecisionLog;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.AnswerText;
import org.oleanderstep.gateway.session.FailureCode;
import org.oleanderstep.gateway.session.SessionStatus;

/**
 * The pool of connections of this VM to one member, and the observed state of the member.
 *
 * <p>Each connection serves one organisation. When the connection limit is reached, an idle
 * connection of another organisation is closed to make room.
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
public final class MemberPool {

  /** Why connections to an evacuated member are closed. */
  static final String EVACUATED = "the failure domain of the member is evacuated";

  /** Connection attempts that take longer count as failed. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  // Time without a reply to a pending command after which a member counts as unresponsive.
  private static final Duration MIN_SILENCE_TIMEOUT = Duration.ofMillis(450);
  private static final Duration MAX_SILENCE_TIMEOUT = Duration.ofMillis(1_200);

  // A reply counts as lost if the member has answered a command that was sent this much later.
  private static final Duration MIN_OVERTAKEN_TIMEOUT = Duration.ofMillis(250);
  private static final Duration MAX_OVERTAKEN_TIMEOUT = Duration.ofSeconds(1);

  /** Time within which a replica typically receives and applies a commit. */
  private static final Duration TYPICAL_REPLICATION_LAG = Duration.ofMillis(120);

  /** The name under which the proxy itself connects. */
  private static final OrganisationId INQUIRER = new OrganisationId("-");

  /** Failures must persist this long before the member is suspected. */
  private static final Duration SUSPICION_DELAY = Duration.ofMillis(200);

  private static final Duration BACKOFF_AFTER_REFUSAL = Duration.ofMillis(60);
  private static final Duration BACKOFF_AFTER_FAILURE = Duration.ofMillis(150);
  private static final Duration NOT_PRIMARY_RETRY_DELAY = Duration.ofMillis(300);
  private static final Duration BEHIND_RETRY_DELAY = Duration.ofMillis(250);
  private static final Duration MAX_DRAIN_TIME = Duration.ofMillis(4_500);

  private static final class ConnectAttempt {
    private final OrganisationId organisation;
    private final long startedAt;
    private Runnable cancel = () -> {};

    private ConnectAttempt(OrganisationId organisation, long startedAt) {
      this.organisation = organisation;
      this.startedAt = startedAt;
    }
  }

  private final TargetConnector connector;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final TargetMetrics metrics;
  private final Runnable onCapacityAvailable;
  private final List<PooledConnection> connections = new ArrayList<>();
  private final List<ConnectAttempt> attempts = new ArrayList<>();
  private final Map<OrganisationId, Integer> attemptCounts = new HashMap<>();
  private final ReplyLatency latency;
  private final ConnectionAllowance allowance;
  private final ServiceMeasurements service;
  private final Optional<MemberMeasurements> measurements;
  private TargetMember member;
  private final ColdLimit coldLimit;
  private MemberAccess access = MemberAccess.OPEN;
  private ColdShare coldShare = ColdShare.UNLIMITED;
  private boolean loggedCold;
  private int coldDeferrals;
  private boolean restartPossible;
  private boolean removed;
  private boolean wrongTarget;
  private LogPosition lastPosition = LogPosition.START;
  private Optional<Long> failingSince = Optional.empty();
  private Optional<Long> drainingSince = Optional.empty();
  private long openNotBefore;
  private long notPrimaryUntil;
  private long behindUntil;
  private LogPosition behindPosition = LogPosition.START;
  private long lastReplyAt;
  private long lastAnsweredSentAt;

  MemberPool(
      TargetMember member,
      int limit,
      TargetConnector connector,
      MonotonicClock clock,
      DecisionLog log,
      TargetMetrics metrics,
      ServiceMeasurements service,
      Runnable onCapacityAvailable) {
    this.member = member;
    this.connector = connector;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.onCapacityAvailable = onCapacityAvailable;
    long now = clock.nanoTime();
    latency = new ReplyLatency(now);
    allowance = new ConnectionAllowance(limit, now);
    coldLimit = new ColdLimit(member.id(), now);
    coldLimit.onReported(member.coldLeft(), now);
    this.service = service;
    measurements = service.ofMember(member, limit, now);
    openNotBefore = now;
    notPrimaryUntil = now;
    behindUntil = now;
    lastReplyAt = now;
    lastAnsweredSentAt = now;
    updateDraining();
  }

  long now() {
    return clock.nanoTime();
  }

  /** Returns the member according to its latest registry entry. */
  public TargetMember member() {
    return member;
  }

  void update(TargetMember update, int newLimit) {
    boolean becamePrimary = update.claimsPrimary() && !member.claimsPrimary();
    if (!update.coldLeft().equals(member.coldLeft())) {
      coldLimit.onReported(update.coldLeft(), now());
    }
    member = update;
    allowance.update(newLimit);
    measurements.ifPresent(measured -> measured.updateConnections(update.slots(), newLimit));
    removed = false;
    if (becamePrimary) {
      notPrimaryUntil = now();
    }
    updateDraining();
  }

  private void updateDraining() {
    if (!member.draining()) {
      drainingSince = Optional.empty();
    } else if (drainingSince.isEmpty()) {
      drainingSince = Optional.of(now());
    }
  }

  /** Returns what may be done with the member. */
  MemberAccess access() {
    return access;
  }

  /** Changes what may be done with the member; {@link #closeIfEvacuated} must follow. */
  void updateAccess(MemberAccess update) {
    if (update == access) {
      return;
    }
    access = update;
    // Its connections are closed on purpose, and it is not probed; no suspicion must remain.
    failingSince = Optional.empty();
    lastReplyAt = now();
    lastAnsweredSentAt = now();
    if (access.allowsSending()) {
      coldLimit.onPossiblyCold(now());
    }
  }

  /**
   * If the member is evacuated, ends connection attempts, and closes each connection unless a
   * statement awaits its reply.
   */
  void closeIfEvacuated() {
    if (access.allowsSending()) {
      return;
    }
    for (ConnectAttempt attempt : List.copyOf(attempts)) {
      if (removeAttempt(attempt)) {
        attempt.cancel.run();
      }
    }
    List.copyOf(connections).forEach(PooledConnection::closeIfEvacuated);
  }

  void onEvacuated() {
    metrics.recordEvacuatedConnection();
  }

  /** Replaces the part of this VM in what the member may get while it is cold. */
  void updateColdShare(ColdShare update) {
    coldShare = update;
  }

  /** Returns whether the member is cold, or may be, and gets a limited number of requests. */
  boolean isCold() {
    return coldShare.isLimited() && coldLimit.isCold(now());
  }

  /** Returns whether the member is cold and this VM has sent it all that it may get just now. */
  boolean isAtColdLimit(long wallClockMillis) {
    boolean limited = !coldLimit.allowsRequest(coldShare, now(), wallClockMillis);
    if (limited) {
      coldDeferrals++;
      metrics.recordColdDeferral();
    }
    return limited;
  }

  /** Counts a request that is sent to the member. */
  void countRequest() {
    if (coldShare.isLimited()) {
      coldLimit.onSent(now());
    }
  }

  private void logCold(long now) {
    boolean cold = isCold();
    if (cold != loggedCold) {
      loggedCold = cold;
      log.stateChange(cold ? "member_cold" : "member_warm")
          .with("member", member.id().name())
          .with("service", member.service())
          .with("bound_per_s", coldShare.bound())
          .with("vms", coldShare.vms().size())
          .with("left_ms", coldLimit.remaining(now).toMillis())
          .with("deferrals", coldDeferrals)
          .write();
      coldDeferrals = 0;
    }
  }

  /** Accepts no new work and closes idle connections; leased ones are closed on release. */
  void remove() {
    removed = true;
    closeIdle("the member was removed");
  }

  boolean isTerminated() {
    return removed && connections.isEmpty() && attempts.isEmpty();
  }

  /** Returns whether the member accepts new reads. */
  boolean acceptsReads() {
    return !removed && !wrongTarget && access.allowsSending() && drainingSince.isEmpty();
  }

  /** Returns whether the member serves writes; a draining primary does so until it is replaced. */
  boolean canServeWrites() {
    if (removed || wrongTarget || !access.allowsPrimary() || !member.claimsPrimary()) {
      return false;
    }
    long now = now();
    boolean drained =
        drainingSince.isPresent() && now - drainingSince.get() > MAX_DRAIN_TIME.toNanos();
    return !drained && now - notPrimaryUntil >= 0;
  }

  /** Records that the member refused a write because it is not the primary. */
  public void onNotPrimary() {
    notPrimaryUntil = now() + NOT_PRIMARY_RETRY_DELAY.toNanos();
  }

  /** Records that the member's log does not include a position. */
  public void onBehind(LogPosition requiredPosition) {
    behindUntil = now() + BEHIND_RETRY_DELAY.toNanos();
    behindPosition = requiredPosition;
  }

  /**
   * Returns whether the member is known or likely not to have reached a position.
   *
   * @param timeSinceReached how long ago the primary is known to have reached the position
   */
  boolean isBehind(LogPosition requiredPosition, Duration timeSinceReached) {
    if (lastPosition.compareTo(requiredPosition) >= 0) {
      return false;
    }
    return hasRefusedPosition(requiredPosition)
        || timeSinceReached.compareTo(TYPICAL_REPLICATION_LAG) < 0;
  }

  /** Returns whether the member has recently refused a read at this or a lower position. */
  boolean hasRefusedPosition(LogPosition requiredPosition) {
    return now() - behindUntil < 0
        && behindPosition.compareTo(requiredPosition) <= 0
        && lastPosition.compareTo(requiredPosition) < 0;
  }

  /** Returns the log position that the member last reported. */
  public LogPosition lastPosition() {
    return lastPosition;
  }

  int leasedConnections() {
    return (int) connections.stream().filter(PooledConnection::isLeased).count();
  }

  boolean hasConnections() {
    return !connections.isEmpty();
  }

  List<PooledConnection> idleConnections() {
    return connections.stream().filter(c -> !c.isLeased()).toList();
  }

  int openingConnections() {
    return attempts.size();
  }

  boolean hasIdle(OrganisationId organisation) {
    return findIdle(organisation).isPresent();
  }

  boolean hasCapacity() {
    return !isPrimaryFull()
        && (allowance.allowsAnother(openOrOpening())
            || connections.stream().anyMatch(c -> !c.isLeased()));
  }

  /** Returns whether any connection is being opened. */
  boolean isOpening() {
    return !attempts.isEmpty();
  }

  boolean isConnecting(OrganisationId organisation) {
    return attemptCounts.getOrDefault(organisation, 0) > 0;
  }

  private Optional<PooledConnection> findIdle(OrganisationId organisation) {
    return connections.stream()
        .filter(c -> !c.isLeased() && c.organisation().equals(organisation))
        .max(Comparator.comparingLong(PooledConnection::lastUsedAt));
  }

  /** Leases an idle connection of a request's organisation, if there is one. */
  Optional<PooledConnection> tryLease(LeaseRequest request) {
    if (isPrimaryFull()) {
      return Optional.empty();
    }
    Optional<PooledConnection> idle =
        access.allowsSending() ? findIdle(request.organisation()) : Optional.empty();
    idle.ifPresent(c -> c.lease(request.workClass(), now()));
    return idle;
  }

  /** Returns what was measured of the member; empty if nothing is measured. */
  Optional<MemberMeasurements> measurements() {
    return measurements;
  }

  /**
   * Returns whether the statements in flight at a primary reach its limit. Reads have other members
   * to go to, but writes would only lengthen its queue.
   */
  private boolean isPrimaryFull() {
    return service.ranksByMeasurements()
        && member.claimsPrimary()
        && measurements.filter(measured -> measured.isFull(overdueStatements())).isPresent();
  }

  /** Counts statements whose reply may be lost; they must not hold up all others. */
  private int overdueStatements() {
    long now = now();
    return (int)
        unansweredStatements()
            .filter(statement -> now - statement.sentAt() > MIN_OVERTAKEN_TIMEOUT.toNanos())
            .count();
  }

  private Stream<PooledConnection.UnansweredStatement> unansweredStatements() {
    return connections.stream().flatMap(c -> c.oldestStatement().stream());
  }

  /**
   * Returns the longest age of an unanswered statement by the reference latency of its kind; a
   * member that hangs sends no replies that could be measured.
   */
  double longestWait(long now) {
    return measurements.stream()
        .flatMapToDouble(
            measured ->
                unansweredStatements().mapToDouble(s -> measured.ratio(s.kind(), now - s.sentAt())))
        .max()
        .orElse(0);
  }

  void onSent(TargetCommand command) {
    if (command.isProven()) {
      measurements.ifPresent(MemberMeasurements::onSent);
    }
  }

  void onMeasured(TargetReply reply, WorkClass.Kind kind, ReplyMatcher.PendingCommand command) {
    if (command.command().isProven()) {
      long now = now();
      measurements.ifPresent(
          measured -> measured.onReply(kind, reply.answer(), now - command.sentAt(), now));
    }
  }

  void onUnanswered(WorkClass.Kind kind, ReplyMatcher.PendingCommand command, boolean byMember) {
    if (command.command().isProven()) {
      long now = now();
      measurements.ifPresent(
          measured -> measured.onLost(kind, now - command.sentAt(), byMember, now));
    }
  }

  /** Leases any idle connection, if there is one. */
  Optional<PooledConnection> tryLeaseAny() {
    Optional<PooledConnection> idle =
        connections.stream().filter(c -> !c.isLeased() && c.acceptsCommands()).findFirst();
    idle.ifPresent(c -> c.lease(WorkClass.PROXY, now()));
    return idle;
  }

  /**
   * Leases a connection to ask the member for its position. If none is idle, starts to open one,
   * also above the limit: a failover must not wait for the transactions that hold the others.
   */
  Optional<PooledConnection> leaseForInquiry() {
    Optional<PooledConnection> idle = tryLeaseAny();
    if (idle.isEmpty() && attempts.isEmpty() && mayConnect()) {
      open(INQUIRER);
    }
    return idle;
  }

  private boolean mayConnect() {
    return !removed && !wrongTarget && access.allowsSending() && now() - openNotBefore >= 0;
  }

  /** Starts to open a connection for an organisation, unless the limit or a backoff prevents it. */
  boolean tryOpen(OrganisationId organisation) {
    // A member that fails is probed by a connection.
    if (!mayConnect() || (isPrimaryFull() && !isFailing())) {
      return false;
    }
    boolean allowed =
        allowance.allowsAnother(openOrOpening())
            || evictIdle()
            || allowance.allowsSpare(openOrOpening(), now());
    if (!allowed) {
      return false;
    }
    open(organisation);
    return true;
  }

  private int openOrOpening() {
    return connections.size() + attempts.size();
  }

  private boolean evictIdle() {
    if (allowance.isExceededBy(openOrOpening())) {
      return false;
    }
    Optional<PooledConnection> oldest =
        connections.stream()
            .filter(c -> !c.isLeased())
            .min(Comparator.comparingLong(PooledConnection::lastUsedAt));
    oldest.ifPresent(
        c -> c.close("closed an idle connection to make room for another organisation"));
    return oldest.isPresent();
  }

  private void open(OrganisationId organisation) {
    ConnectAttempt attempt = new ConnectAttempt(organisation, now());
    attempts.add(attempt);
    attemptCounts.merge(organisation, 1, Integer::sum);
    attempt.cancel = connector.connect(member, organisation.name(), new ConnectListener(attempt));
  }

  private boolean removeAttempt(ConnectAttempt attempt) {
    if (!attempts.remove(attempt)) {
      return false;
    }
    attemptCounts.merge(attempt.organisation, -1, Integer::sum);
    return true;
  }

  private final class ConnectListener implements TargetConnector.Listener {
    private final ConnectAttempt attempt;
    private PooledConnection connection;

    private ConnectListener(ConnectAttempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public void opened(TargetLink link, Optional<LogPosition> position) {
      if (!removeAttempt(attempt)) {
        link.close();
        return;
      }
      updatePosition(position);
      recordReply();
      if (restartPossible) {
        restartPossible = false;
        coldLimit.onPossiblyCold(now());
      }
      connection = new PooledConnection(MemberPool.this, attempt.organisation, link, now());
      connections.add(connection);
      onCapacityAvailable.run();
    }

    @Override
    public void refused(Optional<FailureCode> code, String reason) {
      if (removeAttempt(attempt)) {
        // No process accepted the connection; the next one that does may have just started.
        restartPossible |= code.isEmpty();
        onRefused(code, reason);
      }
    }

    @Override
    public void replied(TargetReply reply) {
      if (connection != null) {
        connection.onReply(reply);
      }
    }

    @Override
    public void lost(String reason) {
      if (connection != null) {
        log.request("connection_lost")
            .with("member", member.id().name())
            .with("service", member.service())
            .with("unanswered", connection.pendingCommandNames())
            .with("reason", reason)
            .write();
        recordFailure("connection lost: " + reason);
        connection.onLost(reason);
      }
    }
  }

  private void onRefused(Optional<FailureCode> code, String reason) {
    Duration backoff = BACKOFF_AFTER_FAILURE;
    if (code.isEmpty()) {
      recordFailure(reason);
    } else {
      recordReply();
      wrongTarget = code.get() == FailureCode.WRONG_TARGET;
      if (code.get() == FailureCode.TOO_MANY_CONNECTIONS) {
        allowance.onRefused(now());
        closeIdle("the member accepts no more connections");
      }
      backoff = BACKOFF_AFTER_REFUSAL;
    }
    openNotBefore = now() + backoff.toNanos();
    log.request("connect_refused")
        .with("member", member.id().name())
        .with("service", member.service())
        .with("code", code.map(Enum::name).orElse("none"))
        .with("reason", reason)
        .write();
    onCapacityAvailable.run();
  }

  private void recordReply() {
    lastReplyAt = now();
    if (isSuspect()) {
      service.onRecovered(this, lastReplyAt);
    }
    failingSince = Optional.empty();
  }

  private void recordFailure(String reason) {
    if (failingSince.isEmpty() && access.allowsSending()) {
      failingSince = Optional.of(now());
      log.stateChange("member_fails")
          .with("member", member.id().name())
          .with("service", member.service())
          .with("reason", reason)
          .write();
    }
  }

  private void updatePosition(Optional<LogPosition> position) {
    position.ifPresent(p -> lastPosition = p);
  }

  void onReply(TargetReply reply, long sentAt) {
    recordReply();
    latency.record(now() - sentAt, now());
    lastAnsweredSentAt = Math.max(lastAnsweredSentAt, sentAt);
    updatePosition(reply.position());
    if (reply.answer() instanceof Answer.Failure failure
        && failure.code() == FailureCode.READ_ONLY) {
      onNotPrimary();
    }
  }

  /** Records that the member has sent an earlier reply again. */
  void onRepeatedReply(TargetReply reply, List<String> unanswered) {
    recordReply();
    metrics.recordRepeatedReply();
    describe("reply_repeated", reply, unanswered).write();
  }

  /** Records that the member has sent a reply that belongs to no command. */
  void onContradictoryReply(TargetReply reply, SessionStatus before, List<String> unanswered) {
    metrics.recordContradictoryReply();
    describe("reply_contradictory", reply, unanswered).with("status_before", before).write();
  }

  private DecisionLog.Line describe(String event, TargetReply reply, List<String> unanswered) {
    return log.request(event)
        .with("member", member.id().name())
        .with("service", member.service())
        .with("outcome", AnswerText.of(reply.answer()))
        .with("proof", reply.proof().orElse("none"))
        .with("status", reply.status())
        .with("unanswered", unanswered);
  }

  void onConnectionEnded(PooledConnection connection) {
    connections.remove(connection);
    onCapacityAvailable.run();
  }

  /** Returns whether the member has been failing for longer than the suspicion delay. */
  boolean isSuspect() {
    return failingSince.isPresent() && now() - failingSince.get() > SUSPICION_DELAY.toNanos();
  }

  boolean isFailing() {
    return failingSince.isPresent();
  }

  /** Ends a lease; a connection that cannot be reused is closed. */
  void release(PooledConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    connection.endLease(now());
    boolean keep =
        connection.isClean() && !connection.hasTooManyPreparedStatements() && acceptsWork();
    if (!keep) {
      connection.close("the released connection cannot be reused");
      return;
    }
    onCapacityAvailable.run();
    if (!connection.isLeased() && allowance.isScarce(now())) {
      connection.close("leaves the connection to other VMs while connections are scarce");
    }
  }

  private boolean acceptsWork() {
    return !removed
        && !wrongTarget
        && access.allowsSending()
        && !allowance.isExceededBy(connections.size());
  }

  /** Detects missing replies, times out connection attempts, and probes a failing member. */
  void tick(Optional<OrganisationId> probeFor, long now) {
    timeOutAttempts(now);
    detectMissingReplies(now);
    closeIfEvacuated();
    logCold(now);
    if (isFailing() && !removed && attempts.isEmpty()) {
      probeFor.ifPresent(this::tryOpen);
    }
  }

  private void timeOutAttempts(long now) {
    if (attempts.isEmpty()) {
      return;
    }
    for (ConnectAttempt attempt : List.copyOf(attempts)) {
      if (now - attempt.startedAt > CONNECT_TIMEOUT.toNanos() && removeAttempt(attempt)) {
        attempt.cancel.run();
        onRefused(Optional.empty(), "the member did not answer the connection attempt");
      }
    }
  }

  private void detectMissingReplies(long now) {
    if (connections.stream().noneMatch(PooledConnection::hasPendingCommand)) {
      return;
    }
    long silenceTimeout = latency.timeoutNanos(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT, now);
    long overtakenTimeout = latency.timeoutNanos(MIN_OVERTAKEN_TIMEOUT, MAX_OVERTAKEN_TIMEOUT, now);
    for (PooledConnection connection : List.copyOf(connections)) {
      if (connection.hasUnansweredCommand(now, silenceTimeout)
          || connection.hasUnansweredCommand(lastAnsweredSentAt, overtakenTimeout)) {
        onSilent(connection, silenceTimeout);
      }
    }
  }

  private void onSilent(PooledConnection connection, long silenceTimeout) {
    if (now() - lastReplyAt > silenceTimeout) {
      recordFailure("no reply");
    }
    // The reply to a write may still arrive; a read can be retried on another member.
    if (!connection.hasPendingWrite()) {
      connection.close("the member did not reply");
    }
  }

  /** Closes all idle connections. */
  void closeIdle(String reason) {
    for (PooledConnection connection : List.copyOf(connections)) {
      if (!connection.isLeased()) {
        connection.close(reason);
      }
    }
  }
}
