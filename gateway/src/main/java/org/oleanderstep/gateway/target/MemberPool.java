package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.MonotonicClock;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.TargetMember;
import org.oleanderstep.gateway.log.DecisionLog;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.FailureCode;

/**
 * The pool of connections of this VM to one member, and the observed state of the member.
 *
 * <p>Each connection serves one organisation. When the connection limit is reached, an idle
 * connection of another organisation is closed to make room.
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
public final class MemberPool {

  /** Connection attempts that take longer count as failed. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  /** Time without a reply to a pending command after which a member counts as unresponsive. */
  private static final Duration SILENCE = Duration.ofMillis(450);

  /** A reply counts as lost if the member has answered a command that was sent this much later. */
  private static final Duration OVERTAKEN = Duration.ofMillis(250);

  /** Time within which a replica typically receives and applies a commit. */
  private static final Duration USUAL_LAG = Duration.ofMillis(120);

  /** Failures must persist this long before the member is suspected. */
  private static final Duration SUSPICION_DELAY = Duration.ofMillis(200);

  private static final Duration BACKOFF_FULL = Duration.ofMillis(60);
  private static final Duration BACKOFF_FAILED = Duration.ofMillis(150);
  private static final Duration DEMOTION_RETRY = Duration.ofMillis(300);
  private static final Duration BEHIND_RETRY = Duration.ofMillis(250);
  private static final Duration DRAIN_LIMIT = Duration.ofMillis(4_500);

  private static final class Opening {
    private final OrganisationId organisation;
    private final long startedAt;
    private Runnable abandon = () -> {};

    private Opening(OrganisationId organisation, long startedAt) {
      this.organisation = organisation;
      this.startedAt = startedAt;
    }
  }

  private final TargetConnector connector;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final Runnable onCapacity;
  private final List<PooledConnection> connections = new ArrayList<>();
  private final List<Opening> openings = new ArrayList<>();
  private final Map<OrganisationId, Integer> openingCount = new HashMap<>();
  private TargetMember member;
  private int limit;
  private boolean removed;
  private boolean wrongTarget;
  private LogPosition lastPosition = LogPosition.START;
  private Optional<Long> failingSince = Optional.empty();
  private Optional<Long> drainingSince = Optional.empty();
  private long openNotBefore;
  private long demotedUntil;
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
      Runnable onCapacity) {
    this.member = member;
    this.limit = limit;
    this.connector = connector;
    this.clock = clock;
    this.log = log;
    this.onCapacity = onCapacity;
    long now = clock.nanoTime();
    openNotBefore = now;
    demotedUntil = now;
    behindUntil = now;
    lastReplyAt = now;
    lastAnsweredSentAt = now;
    noteDraining();
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
    member = update;
    limit = newLimit;
    removed = false;
    if (becamePrimary) {
      demotedUntil = now();
    }
    noteDraining();
  }

  private void noteDraining() {
    if (!member.draining()) {
      drainingSince = Optional.empty();
    } else if (drainingSince.isEmpty()) {
      drainingSince = Optional.of(now());
    }
  }

  /** Accepts no new work and closes idle connections; leased ones are closed on release. */
  void remove() {
    removed = true;
    closeIdle("the member was removed");
  }

  boolean isGone() {
    return removed && connections.isEmpty() && openings.isEmpty();
  }

  /** Returns whether the member accepts new reads. */
  boolean acceptsReads() {
    return !removed && !wrongTarget && drainingSince.isEmpty();
  }

  /** Returns whether the member serves writes; a draining primary does so until it is replaced. */
  boolean mayLead() {
    long now = now();
    boolean drained =
        drainingSince.isPresent() && now - drainingSince.get() > DRAIN_LIMIT.toNanos();
    return !removed
        && !wrongTarget
        && !drained
        && member.claimsPrimary()
        && now - demotedUntil >= 0;
  }

  /** Records that the member refused a write because it is not the primary. */
  public void onNotLeading() {
    demotedUntil = now() + DEMOTION_RETRY.toNanos();
  }

  /** Records that the member's log does not include a position. */
  public void onBehind(LogPosition need) {
    behindUntil = now() + BEHIND_RETRY.toNanos();
    behindPosition = need;
  }

  /**
   * Returns whether the member is known or likely not to have reached a position.
   *
   * @param timeSinceReached how long ago the primary is known to have reached the position
   */
  boolean isBehind(LogPosition need, Duration reachedBefore) {
    if (lastPosition.compareTo(need) >= 0) {
      return false;
    }
    return hasRefused(need) || reachedBefore.compareTo(USUAL_LAG) < 0;
  }

  /** Returns whether the member has recently refused a read at this or a lower position. */
  boolean hasRefused(LogPosition need) {
    return now() - behindUntil < 0
        && behindPosition.compareTo(need) <= 0
        && lastPosition.compareTo(need) < 0;
  }

  /** Returns the log position that the member last reported. */
  public LogPosition lastPosition() {
    return lastPosition;
  }

  int busy() {
    return (int) connections.stream().filter(PooledConnection::isLeased).count();
  }

  boolean hasIdle(OrganisationId organisation) {
    return findIdle(organisation).isPresent();
  }

  boolean hasRoom() {
    return connections.size() + openings.size() < limit
        || connections.stream().anyMatch(c -> !c.isLeased());
  }

  boolean isConnecting(OrganisationId organisation) {
    return openingCount.getOrDefault(organisation, 0) > 0;
  }

  private Optional<PooledConnection> findIdle(OrganisationId organisation) {
    return connections.stream()
        .filter(c -> !c.isLeased() && c.organisation().equals(organisation))
        .max(Comparator.comparingLong(PooledConnection::lastUsedAt));
  }

  /** Leases an idle connection of an organisation, if there is one. */
  Optional<PooledConnection> tryLease(OrganisationId organisation) {
    Optional<PooledConnection> idle = findIdle(organisation);
    idle.ifPresent(c -> c.lease(now()));
    return idle;
  }

  /** Leases any idle connection, if there is one. */
  Optional<PooledConnection> tryLeaseAny() {
    Optional<PooledConnection> idle = connections.stream().filter(c -> !c.isLeased()).findFirst();
    idle.ifPresent(c -> c.lease(now()));
    return idle;
  }

  /** Starts to open a connection for an organisation, unless the limit or a backoff prevents it. */
  boolean tryOpen(OrganisationId organisation) {
    if (removed || wrongTarget || now() - openNotBefore < 0) {
      return false;
    }
    if (connections.size() + openings.size() >= limit && !evictIdle()) {
      return false;
    }
    open(organisation);
    return true;
  }

  private boolean evictIdle() {
    if (connections.size() + openings.size() > limit) {
      return false;
    }
    Optional<PooledConnection> oldest =
        connections.stream()
            .filter(c -> !c.isLeased())
            .min(Comparator.comparingLong(PooledConnection::lastUsedAt));
    oldest.ifPresent(
        c -> c.closeBroken("closed an idle connection to make room for another organisation"));
    return oldest.isPresent();
  }

  private void open(OrganisationId organisation) {
    Opening opening = new Opening(organisation, now());
    openings.add(opening);
    openingCount.merge(organisation, 1, Integer::sum);
    opening.abandon = connector.connect(member, organisation.name(), new OpeningListener(opening));
  }

  private boolean endOpening(Opening opening) {
    if (!openings.remove(opening)) {
      return false;
    }
    openingCount.merge(opening.organisation, -1, Integer::sum);
    return true;
  }

  private final class OpeningListener implements TargetConnector.Listener {
    private final Opening opening;
    private PooledConnection connection;

    private OpeningListener(Opening opening) {
      this.opening = opening;
    }

    @Override
    public void opened(TargetLink link, Optional<LogPosition> position) {
      if (!endOpening(opening)) {
        link.close();
        return;
      }
      notePosition(position);
      noteAnswer();
      connection = new PooledConnection(MemberPool.this, opening.organisation, link, now());
      connections.add(connection);
      onCapacity.run();
    }

    @Override
    public void refused(Optional<FailureCode> code, String reason) {
      if (endOpening(opening)) {
        onRefused(code, reason);
      }
    }

    @Override
    public void lost(String reason) {
      if (connection != null) {
        noteFailure("connection lost: " + reason);
        connection.onLost(reason);
      }
    }
  }

  private void onRefused(Optional<FailureCode> code, String reason) {
    Duration backoff = BACKOFF_FAILED;
    if (code.isEmpty()) {
      noteFailure(reason);
    } else {
      noteAnswer();
      wrongTarget = code.get() == FailureCode.WRONG_TARGET;
      backoff = BACKOFF_FULL;
    }
    openNotBefore = now() + backoff.toNanos();
    log.request("connect_refused")
        .with("member", member.id().name())
        .with("service", member.service())
        .with("code", code.map(Enum::name).orElse("none"))
        .with("reason", reason)
        .write();
    onCapacity.run();
  }

  private void noteAnswer() {
    lastReplyAt = now();
    failingSince = Optional.empty();
  }

  private void noteFailure(String reason) {
    if (failingSince.isEmpty()) {
      failingSince = Optional.of(now());
      log.belief("member_fails")
          .with("member", member.id().name())
          .with("service", member.service())
          .with("reason", reason)
          .write();
    }
  }

  private void notePosition(Optional<LogPosition> position) {
    position.ifPresent(p -> lastPosition = p);
  }

  void onReply(TargetReply reply, long sentAt) {
    noteAnswer();
    lastAnsweredSentAt = Math.max(lastAnsweredSentAt, sentAt);
    notePosition(reply.position());
    if (reply.answer() instanceof Answer.Failure failure
        && failure.code() == FailureCode.READ_ONLY) {
      onNotLeading();
    }
  }

  void onConnectionEnded(PooledConnection connection) {
    connections.remove(connection);
    onCapacity.run();
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
    boolean keep = connection.isClean() && !connection.isWornOut() && acceptsWork();
    if (!keep) {
      connection.closeBroken("the released connection cannot be reused");
      return;
    }
    onCapacity.run();
  }

  private boolean acceptsWork() {
    return !removed && !wrongTarget && connections.size() <= limit;
  }

  /** Detects missing replies, times out connection attempts, and probes a failing member. */
  void tick(Optional<OrganisationId> probeFor) {
    long now = now();
    for (Opening opening : List.copyOf(openings)) {
      if (now - opening.startedAt > CONNECT_TIMEOUT.toNanos() && endOpening(opening)) {
        opening.abandon.run();
        onRefused(Optional.empty(), "the member did not answer the connection attempt");
      }
    }
    for (PooledConnection connection : List.copyOf(connections)) {
      if (connection.isSilent(now, SILENCE.toNanos()) || isOvertaken(connection)) {
        onSilent(connection);
      }
    }
    if (isFailing() && !removed && openings.isEmpty()) {
      probeFor.ifPresent(this::tryOpen);
    }
  }

  private boolean isOvertaken(PooledConnection connection) {
    return connection.isSilent(lastAnsweredSentAt, OVERTAKEN.toNanos());
  }

  private void onSilent(PooledConnection connection) {
    if (now() - lastReplyAt > SILENCE.toNanos()) {
      noteFailure("no reply");
    }
    // The reply to a write may still arrive; a read can be retried on another member.
    if (!connection.hasOutstandingWrite()) {
      connection.closeBroken("the member did not reply");
    }
  }

  /** Closes all idle connections. */
  void closeIdle(String reason) {
    for (PooledConnection connection : List.copyOf(connections)) {
      if (!connection.isLeased()) {
        connection.closeBroken(reason);
      }
    }
  }
}
