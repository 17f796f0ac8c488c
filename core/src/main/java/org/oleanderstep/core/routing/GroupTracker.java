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
 * Collects what is known of the members of one group and publishes it as {@link GroupView}.
 *
 * <pre>{@code
 * tracker.onStatus(status, askedNanos, clock.nanoTime());
 * published = tracker.view();
 * }</pre>
 *
 * <p>The tracker belongs to the control thread. Knowledge of a member's positions is dropped when
 * its incarnation changes.
 */
public final class GroupTracker {

  /** Statuses come every 200 ms, so the history covers at least twelve seconds. */
  private static final int MAX_HISTORY = 64;

  private static final long HISTORY_SPACING_NANOS = 100_000_000L;

  private final DatabaseId database;
  private final Map<MemberId, TrackedMember> members = new LinkedHashMap<>();
  private final Deque<PositionSample> history = new ArrayDeque<>();
  private long term;
  private Optional<MemberId> primary = Optional.empty();
  private GroupView published;

  /**
   * Creates a tracker that knows nothing of the members yet.
   *
   * @param near members in the proxy's own failure domain
   */
  public GroupTracker(DatabaseId database, Collection<MemberId> members, Set<MemberId> near) {
    this.database = database;
    for (MemberId member : members) {
      this.members.put(member, new TrackedMember(member, near.contains(member)));
    }
  }

  /**
   * Takes a status.
   *
   * @param askedNanos when the request for it was sent
   */
  public void onStatus(MemberStatus status, long askedNanos, long nowNanos) {
    TrackedMember member = members.get(status.member());
    if (member == null) {
      return;
    }
    published = null;
    if (!member.onStatus(status, askedNanos, nowNanos)) {
      // A reply that was overtaken tells of a term, but not who acknowledges writes now.
      onTerm(status.term());
    } else if (status.role() == MemberRole.PRIMARY && status.term() >= term) {
      onPrimaryStatus(status);
    } else if (status.term() > term) {
      onTerm(status.term());
    } else if (primary.equals(Optional.of(status.member()))) {
      primary = Optional.empty();
    }
    provePosition();
  }

  private void onPrimaryStatus(MemberStatus status) {
    term = status.term();
    primary = acknowledges(status) ? Optional.of(status.member()) : Optional.empty();
  }

  private static boolean acknowledges(MemberStatus status) {
    return status.hasMajority() && status.promisedTerm() <= status.term();
  }

  /** Adds the primary's position with the latest time for which a majority proves it. */
  private void provePosition() {
    if (primary.isEmpty()) {
      return;
    }
    long[] asked =
        members.values().stream()
            .filter(member -> member.heard && member.promisedTerm <= term)
            .mapToLong(member -> member.lastAskedNanos)
            .sorted()
            .toArray();
    int majority = members.size() / 2 + 1;
    if (asked.length < majority) {
      return;
    }
    TrackedMember proved = members.get(primary.get());
    long since = Math.min(asked[asked.length - majority], proved.lastAskedNanos);
    if (proved.role == MemberRole.PRIMARY && proved.term == term && proved.isPositionKnown()) {
      addToHistory(new PositionSample(since, proved.applied));
    }
  }

  private void addToHistory(PositionSample sample) {
    PositionSample last = history.peekLast();
    if (last != null && sample.askedNanos() <= last.askedNanos()) {
      return;
    }
    history.pollLast();
    boolean tooClose =
        !history.isEmpty()
            && last.askedNanos() - history.peekLast().askedNanos() < HISTORY_SPACING_NANOS;
    if (last != null && !tooClose) {
      history.addLast(last);
    }
    history.addLast(sample);
    if (history.size() > MAX_HISTORY) {
      history.removeFirst();
    }
  }

  /**
   * Takes the position that came with an answer to a statement.
   *
   * @param incarnation incarnation of the member at the time the connection was opened
   */
  public void onAnswer(MemberId member, String incarnation, LogPosition applied, long nowNanos) {
    TrackedMember tracked = members.get(member);
    if (tracked != null && tracked.onPosition(incarnation, applied, nowNanos)) {
      published = null;
    }
  }

  /** Takes note that a status request or a connection to the member failed. */
  public void onFailure(MemberId member) {
    TrackedMember tracked = members.get(member);
    if (tracked != null && tracked.reachable) {
      tracked.reachable = false;
      published = null;
    }
  }

  /**
   * Takes note that a term has or had a primary, for instance from a peer; lower terms are ignored.
   */
  public void onTerm(long seen) {
    if (seen > term) {
      term = seen;
      primary = Optional.empty();
      published = null;
    }
  }

  /** Returns the present knowledge; the same instance as before if nothing has changed. */
  public GroupView view() {
    if (published == null) {
      List<MemberView> views = new ArrayList<>(members.size());
      members.values().forEach(member -> views.add(member.view(term)));
      published = new GroupView(database, term, primary, views, List.copyOf(history));
    }
    return published;
  }

  /** Knowledge about one member within its present incarnation. */
  private static final class TrackedMember {

    private static final String UNKNOWN_INCARNATION = "";
    private static final double RATE_SMOOTHING = 0.3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long SHORTEST_RATE_INTERVAL_NANOS = 20_000_000L;
    // A longer interval without a new position was idle and says nothing about the speed.
    private static final long LONGEST_RATE_INTERVAL_NANOS = 1_000_000_000L;

    private final MemberId id;
    private final boolean near;
    private String incarnation = UNKNOWN_INCARNATION;
    private LogPosition applied = LogPosition.START;
    private MemberRole role = MemberRole.JOINING;
    private long term;
    private long promisedTerm;
    private boolean leaving;
    private boolean reachable;
    private boolean heard;
    private double appliedPerSecond;
    private LogPosition rateFrom = LogPosition.START;
    private long rateFromNanos;
    private long lastStatusNanos;
    private long lastAskedNanos;

    TrackedMember(MemberId id, boolean near) {
      this.id = id;
      this.near = near;
    }

    /** Returns whether no later request has been answered before. */
    boolean onStatus(MemberStatus status, long askedNanos, long nowNanos) {
      reachable = true;
      if (!status.incarnation().equals(incarnation)) {
        forgetPositions(nowNanos);
        // Replies to requests that overlap in time may arrive in either order; only a request sent
        // after the last reply tells surely which incarnation is the present one.
        boolean newer = !heard || askedNanos - lastStatusNanos >= 0;
        incarnation = newer ? status.incarnation() : UNKNOWN_INCARNATION;
      }
      onPosition(status.incarnation(), status.applied(), nowNanos);
      boolean latest = !heard || askedNanos - lastAskedNanos >= 0;
      if (latest) {
        role = status.role();
        term = status.term();
        promisedTerm = status.promisedTerm();
        leaving = status.leaving();
        lastAskedNanos = askedNanos;
      }
      lastStatusNanos = nowNanos;
      heard = true;
      return latest;
    }

    boolean onPosition(String ofIncarnation, LogPosition position, long nowNanos) {
      boolean known = isPositionKnown() && ofIncarnation.equals(incarnation);
      if (!known || position.compareTo(applied) <= 0) {
        return false;
      }
      applied = position;
      measureRate(nowNanos);
      return true;
    }

    boolean isPositionKnown() {
      return !incarnation.equals(UNKNOWN_INCARNATION);
    }

    private void measureRate(long nowNanos) {
      long elapsed = nowNanos - rateFromNanos;
      if (elapsed < SHORTEST_RATE_INTERVAL_NANOS) {
        return;
      }
      double rate = (applied.index() - rateFrom.index()) * NANOS_PER_SECOND / elapsed;
      boolean usable = !rateFrom.equals(LogPosition.START) && elapsed < LONGEST_RATE_INTERVAL_NANOS;
      if (usable && rate >= 0) {
        appliedPerSecond += RATE_SMOOTHING * (rate - appliedPerSecond);
      }
      rateFrom = applied;
      rateFromNanos = nowNanos;
    }

    private void forgetPositions(long nowNanos) {
      applied = LogPosition.START;
      appliedPerSecond = 0;
      rateFrom = LogPosition.START;
      rateFromNanos = nowNanos;
    }

    MemberView view(long groupTerm) {
      boolean olderPrimary = role == MemberRole.PRIMARY && term < groupTerm;
      return new MemberView(
          id,
          incarnation,
          applied,
          appliedPerSecond,
          0,
          near,
          reachable,
          leaving,
          role == MemberRole.JOINING || olderPrimary);
    }
  }
}
