package org.oleanderstep.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.failover.MemberRole;
import org.oleanderstep.core.failover.MemberStatus;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/**
 * Tracks the members of one database group from their status replies and statement responses, and
 * publishes their state as an immutable {@link GroupView}.
 *
 * <pre>{@code
 * tracker.onStatus(status, requestedAtNanos, clock.nanoTime());
 * GroupView view = tracker.view();
 * }</pre>
 *
 * <p>When the incarnation of a member changes, its positions are discarded, because a restarted
 * member may have less data than before.
 *
 * <p>Not thread-safe; call only from the control thread.
 */
public final class GroupTracker {

  /** With one status of each member every 200 ms, the history covers at least 12 s. */
  private static final int MAX_HISTORY_SIZE = 64;

  private static final long MIN_HISTORY_SPACING_NANOS = 100_000_000L;

  private final DatabaseId database;
  private final Map<MemberId, TrackedMember> members = new LinkedHashMap<>();
  private final Deque<ConfirmedPosition> history = new ArrayDeque<>();
  private long term;
  private Optional<MemberId> primary = Optional.empty();
  private GroupView cachedView;

  /**
   * Creates a tracker without any status of the members.
   *
   * @param sameFailureDomain members in the proxy's own failure domain
   */
  public GroupTracker(
      DatabaseId database, Collection<MemberId> members, Set<MemberId> sameFailureDomain) {
    this.database = database;
    for (MemberId member : members) {
      this.members.put(member, new TrackedMember(member, sameFailureDomain.contains(member)));
    }
  }

  /**
   * Updates the group from the status of a member; ignores members that are not in the group.
   *
   * @param requestedAtNanos time at which the status was requested
   */
  public void onStatus(MemberStatus status, long requestedAtNanos, long nowNanos) {
    TrackedMember member = members.get(status.member());
    if (member == null) {
      return;
    }
    cachedView = null;
    if (!member.onStatus(status, requestedAtNanos, nowNanos)) {
      // A reply to an earlier request still reports a term, but not who acknowledges writes now.
      onTerm(status.term());
    } else if (status.role() == MemberRole.PRIMARY && status.term() >= term) {
      updatePrimary(status);
    } else if (status.term() > term) {
      onTerm(status.term());
    } else if (primary.equals(Optional.of(status.member()))) {
      primary = Optional.empty();
    }
    recordConfirmedPosition();
  }

  private void updatePrimary(MemberStatus status) {
    term = status.term();
    primary = canAcknowledgeWrites(status) ? Optional.of(status.member()) : Optional.empty();
  }

  private static boolean canAcknowledgeWrites(MemberStatus status) {
    return status.hasMajority() && status.promisedTerm() <= status.term();
  }

  /** Adds the position of the primary, as of the latest time for which a majority confirms it. */
  private void recordConfirmedPosition() {
    if (primary.isEmpty()) {
      return;
    }
    long[] requestTimes =
        members.values().stream()
            .filter(member -> member.statusReceived && member.promisedTerm <= term)
            .mapToLong(member -> member.lastRequestNanos)
            .sorted()
            .toArray();
    int majority = members.size() / 2 + 1;
    if (requestTimes.length < majority) {
      return;
    }
    TrackedMember primaryMember = members.get(primary.get());
    long asOfNanos =
        Math.min(requestTimes[requestTimes.length - majority], primaryMember.lastRequestNanos);
    if (primaryMember.role == MemberRole.PRIMARY
        && primaryMember.term == term
        && primaryMember.isPositionKnown()) {
      addToHistory(new ConfirmedPosition(asOfNanos, primaryMember.applied));
    }
  }

  private void addToHistory(ConfirmedPosition sample) {
    ConfirmedPosition last = history.peekLast();
    if (last != null && sample.asOfNanos() <= last.asOfNanos()) {
      return;
    }
    history.pollLast();
    boolean tooClose =
        !history.isEmpty()
            && last.asOfNanos() - history.peekLast().asOfNanos() < MIN_HISTORY_SPACING_NANOS;
    if (last != null && !tooClose) {
      history.addLast(last);
    }
    history.addLast(sample);
    if (history.size() > MAX_HISTORY_SIZE) {
      history.removeFirst();
    }
  }

  /**
   * Updates a member from the applied position in its response to a statement.
   *
   * @param incarnation incarnation of the member at the time the connection was opened
   */
  public void onStatementResponse(
      MemberId member, String incarnation, LogPosition applied, long nowNanos) {
    TrackedMember tracked = members.get(member);
    if (tracked != null && tracked.onPosition(incarnation, applied, nowNanos)) {
      cachedView = null;
    }
  }

  /** Marks a member as unreachable after a status request or a connection to it failed. */
  public void onFailure(MemberId member) {
    TrackedMember tracked = members.get(member);
    if (tracked != null && tracked.reachable) {
      tracked.reachable = false;
      cachedView = null;
    }
  }

  /**
   * Updates the group from a term that has or had a primary, for example one that a peer reported;
   * ignores terms that are not higher than the current one.
   */
  public void onTerm(long reportedTerm) {
    if (reportedTerm > term) {
      term = reportedTerm;
      primary = Optional.empty();
      cachedView = null;
    }
  }

  /** Returns the current view; the same instance as before if nothing has changed. */
  public GroupView view() {
    if (cachedView == null) {
      List<MemberView> views = new ArrayList<>(members.size());
      members.values().forEach(member -> views.add(member.view(term)));
      cachedView = new GroupView(database, term, primary, views, List.copyOf(history));
    }
    return cachedView;
  }

  /** State of one member within its current incarnation. */
  private static final class TrackedMember {

    private static final String UNKNOWN_INCARNATION = "";
    private static final double RATE_SMOOTHING = 0.3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MIN_RATE_INTERVAL_NANOS = 20_000_000L;
    // The member was idle in a longer interval, which says nothing about its apply rate.
    private static final long MAX_RATE_INTERVAL_NANOS = 1_000_000_000L;

    private final MemberId id;
    private final boolean sameFailureDomain;
    private String incarnation = UNKNOWN_INCARNATION;
    private LogPosition applied = LogPosition.START;
    private MemberRole role = MemberRole.JOINING;
    private long term;
    private long promisedTerm;
    private boolean leaving;
    private boolean reachable;
    private boolean statusReceived;
    private double appliedPerSecond;
    private LogPosition rateStart = LogPosition.START;
    private long rateStartNanos;
    private long lastReplyNanos;
    private long lastRequestNanos;

    TrackedMember(MemberId id, boolean sameFailureDomain) {
      this.id = id;
      this.sameFailureDomain = sameFailureDomain;
    }

    /** Updates the member; returns false if a later request has already been answered. */
    boolean onStatus(MemberStatus status, long requestedAtNanos, long nowNanos) {
      reachable = true;
      if (!status.incarnation().equals(incarnation)) {
        resetPositions(nowNanos);
        // Replies to overlapping requests may arrive in either order. Only the reply to a request
        // that was sent after the last reply arrived identifies the current incarnation.
        boolean newer = !statusReceived || requestedAtNanos - lastReplyNanos >= 0;
        incarnation = newer ? status.incarnation() : UNKNOWN_INCARNATION;
      }
      onPosition(status.incarnation(), status.applied(), nowNanos);
      boolean latest = !statusReceived || requestedAtNanos - lastRequestNanos >= 0;
      if (latest) {
        role = status.role();
        term = status.term();
        promisedTerm = status.promisedTerm();
        leaving = status.leaving();
        lastRequestNanos = requestedAtNanos;
      }
      lastReplyNanos = nowNanos;
      statusReceived = true;
      return latest;
    }

    boolean onPosition(String reportedIncarnation, LogPosition position, long nowNanos) {
      boolean known = isPositionKnown() && reportedIncarnation.equals(incarnation);
      if (!known || position.compareTo(applied) <= 0) {
        return false;
      }
      applied = position;
      updateApplyRate(nowNanos);
      return true;
    }

    boolean isPositionKnown() {
      return !incarnation.equals(UNKNOWN_INCARNATION);
    }

    private void updateApplyRate(long nowNanos) {
      long elapsed = nowNanos - rateStartNanos;
      if (elapsed < MIN_RATE_INTERVAL_NANOS) {
        return;
      }
      double rate = (applied.index() - rateStart.index()) * NANOS_PER_SECOND / elapsed;
      boolean usable = !rateStart.equals(LogPosition.START) && elapsed < MAX_RATE_INTERVAL_NANOS;
      if (usable && rate >= 0) {
        appliedPerSecond += RATE_SMOOTHING * (rate - appliedPerSecond);
      }
      rateStart = applied;
      rateStartNanos = nowNanos;
    }

    private void resetPositions(long nowNanos) {
      applied = LogPosition.START;
      appliedPerSecond = 0;
      rateStart = LogPosition.START;
      rateStartNanos = nowNanos;
    }

    MemberView view(long groupTerm) {
      boolean olderPrimary = role == MemberRole.PRIMARY && term < groupTerm;
      return new MemberView(
          id,
          incarnation,
          applied,
          appliedPerSecond,
          0,
          sameFailureDomain,
          reachable,
          leaving,
          role == MemberRole.JOINING || olderPrimary);
    }
  }
}
