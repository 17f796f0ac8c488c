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
 * The connections of this VM to one member, and what is known of the member.
 *
 * <p>Each connection serves one organisation. When all that this VM may open are open, an idle one
 * of another organisation gives way. Belongs to the traffic thread.
 */
public final class MemberPool {

  /** A connection attempt that takes longer has failed. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

  /** A member that answers nothing for this long while asked is silent. */
  private static final Duration SILENCE = Duration.ofMillis(450);

  /** A reply is lost if the member has answered what was sent to it this much later. */
  private static final Duration OVERTAKEN = Duration.ofMillis(250);

  /** Time in which a replica usually receives and applies a commit. */
  private static final Duration USUAL_LAG = Duration.ofMillis(120);

  /** Failures must last this long before the member is suspected. */
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

  /** Returns the member as it last described itself. */
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

  /** Stops new work and closes idle connections; leased ones end with their work. */
  void remove() {
    removed = true;
    closeIdle("the member has left");
  }

  boolean isGone() {
    return removed && connections.isEmpty() && openings.isEmpty();
  }

  /** Returns whether reads may start here. */
  boolean acceptsReads() {
    return !removed && !wrongTarget && drainingSince.isEmpty();
  }

  /** Returns whether writes may start here; a primary that drains leads until it is replaced. */
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

  /** Notes that the member refused a write because it does not lead. */
  public void onNotLeading() {
    demotedUntil = now() + DEMOTION_RETRY.toNanos();
  }

  /** Notes that the member's log lacks a position. */
  public void onBehind(LogPosition need) {
    behindUntil = now() + BEHIND_RETRY.toNanos();
    behindPosition = need;
  }

  /**
   * Returns whether the member is known to lack a position, or is likely to.
   *
   * @param reachedBefore how long ago the primary had reached the position
   */
  boolean isBehind(LogPosition need, Duration reachedBefore) {
    if (lastPosition.compareTo(need) >= 0) {
      return false;
    }
    return hasRefused(need) || reachedBefore.compareTo(USUAL_LAG) < 0;
  }

  /** Returns whether the member has lately refused to read at a position, or at a lower one. */
  boolean hasRefused(LogPosition need) {
    return now() - behindUntil < 0
        && behindPosition.compareTo(need) <= 0
        && lastPosition.compareTo(need) < 0;
  }

  /** Returns the highest log position that the member has shown. */
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

  /** Leases an idle connection of an organisation if there is one. */
  Optional<PooledConnection> tryLease(OrganisationId organisation) {
    Optional<PooledConnection> idle = findIdle(organisation);
    idle.ifPresent(c -> c.lease(now()));
    return idle;
  }

  /** Returns any idle connection, leased to the caller. */
  Optional<PooledConnection> tryLeaseAny() {
    Optional<PooledConnection> idle = connections.stream().filter(c -> !c.isLeased()).findFirst();
    idle.ifPresent(c -> c.lease(now()));
    return idle;
  }

  /** Opens a connection for an organisation if the limit allows it. */
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
    oldest.ifPresent(c -> c.closeBroken("the connection gives way to another organisation"));
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
        noteFailure("lost: " + reason);
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

  /** Returns whether the member has failed to answer for a while. */
  boolean isSuspect() {
    return failingSince.isPresent() && now() - failingSince.get() > SUSPICION_DELAY.toNanos();
  }

  boolean isFailing() {
    return failingSince.isPresent();
  }

  /** Ends a lease; a connection in an unknown state is closed. */
  void release(PooledConnection connection) {
    if (!connection.isOpen()) {
      return;
    }
    connection.endLease(now());
    boolean keep = connection.isClean() && !connection.isWornOut() && acceptsWork();
    if (!keep) {
      connection.closeBroken("the connection is not needed");
      return;
    }
    onCapacity.run();
  }

  private boolean acceptsWork() {
    return !removed && !wrongTarget && connections.size() <= limit;
  }

  /** Notices silence, ends attempts that take too long, and asks a failing member again. */
  void tick(Optional<OrganisationId> probeFor) {
    long now = now();
    for (Opening opening : List.copyOf(openings)) {
      if (now - opening.startedAt > CONNECT_TIMEOUT.toNanos() && endOpening(opening)) {
        opening.abandon.run();
        onRefused(Optional.empty(), "no answer to the connection request");
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
    // The reply to a write may still come; a read can run elsewhere.
    if (!connection.hasOutstandingWrite()) {
      connection.closeBroken("no reply from the member");
    }
  }

  /** Closes all connections that nobody uses. */
  void closeIdle(String reason) {
    for (PooledConnection connection : List.copyOf(connections)) {
      if (!connection.isLeased()) {
        connection.closeBroken(reason);
      }
    }
  }
}
