package org.oleanderstep.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.position.ReadRequirement;

/**
 * Chooses the member that runs a statement outside a transaction, or a transaction's first one.
 *
 * <pre>{@code
 * RouteDecision decision =
 *     router.routeRead(view, session.need(database), rule, clock.nanoTime(), random);
 * }</pre>
 *
 * <p>Reads go to replicas that have what the session needs, so that the primary keeps its capacity
 * for writes. The choice uses what was known of a member, so the caller has to check the position
 * that comes with the answer against {@link RouteDecision.Run#atLeast()} as well.
 *
 * <p>Stateless; traffic threads share one instance.
 */
public final class StatementRouter {

  /** Lead in outstanding statements above which a replica loses a read to the primary. */
  private static final int PRIMARY_HELPS_ABOVE = 8;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long SHORTEST_WAIT_NANOS = 1_000_000L;
  private static final RouteDecision WAIT_FOR_PRIMARY = new RouteDecision.WaitForPrimary();

  private static final RouteDecision ASK_MEMBERS = new RouteDecision.AskMembers();

  /** How reads of sessions are served of which nothing is known. */
  public enum UnknownSessions {
    /**
     * The primary known to this proxy serves at once.
     *
     * <p>Within the time that this proxy needs to learn of a new primary, such a session may miss
     * its own writes. Only a baseline for measurements and simulations.
     */
    RUN_ON_KNOWN_PRIMARY,
    /** The read waits for {@link RouteDecision.AskMembers} first, and may then go to a replica. */
    ASK_MEMBERS
  }

  private final OutstandingStatements outstanding;
  private final UnknownSessions unknownSessions;

  /** Creates a router that balances by the given counts and asks members for unknown sessions. */
  public StatementRouter(OutstandingStatements outstanding) {
    this(outstanding, UnknownSessions.ASK_MEMBERS);
  }

  /** Creates a router that balances by the given counts. */
  public StatementRouter(OutstandingStatements outstanding, UnknownSessions unknownSessions) {
    this.outstanding = outstanding;
    this.unknownSessions = unknownSessions;
  }

  /** Chooses where a read goes that has just arrived. */
  public RouteDecision routeRead(
      GroupView view, ReadRequirement need, ReadRule rule, long nowNanos, RandomGenerator random) {
    return routeRead(view, need, rule, nowNanos, true, random);
  }

  /**
   * Chooses where a read goes that has already waited, and must not wait for a replica again.
   *
   * @param arrivedNanos when the read arrived; the age of its data is counted from then
   */
  public RouteDecision routeReadAfterWait(
      GroupView view,
      ReadRequirement need,
      ReadRule rule,
      long arrivedNanos,
      RandomGenerator random) {
    return routeRead(view, need, rule, arrivedNanos, false, random);
  }

  /** Chooses where a write goes that depends on nothing the session has seen. */
  public RouteDecision routeWrite(GroupView view) {
    return routeWrite(view, LogPosition.START);
  }

  /**
   * Chooses where a write, or a transaction that may write, goes.
   *
   * @param floor position that the session has seen; a primary of an earlier term has been
   *     replaced, and a transaction there would read data from before the session's own writes
   */
  public RouteDecision routeWrite(GroupView view, LogPosition floor) {
    if (view.members().isEmpty()) {
      return new RouteDecision.Refuse(NotRunReason.NO_PRIMARY);
    }
    return runOnPrimary(view, floor);
  }

  private RouteDecision routeRead(
      GroupView view,
      ReadRequirement need,
      ReadRule rule,
      long arrivedNanos,
      boolean mayWait,
      RandomGenerator random) {
    if (view.members().isEmpty()) {
      return new RouteDecision.Refuse(NotRunReason.NO_PRIMARY);
    }
    LogPosition floor = need.position();
    boolean primaryOnly = need instanceof ReadRequirement.PrimaryOnly;
    if (primaryOnly || rule.maxAge().isPresent()) {
      // What the primary had at arrival also covers writes of unknown outcome.
      long ageNanos = primaryOnly ? 0 : rule.maxAge().get().toNanos();
      Optional<LogPosition> proved = view.positionSince(arrivedNanos - ageNanos);
      if (proved.isEmpty()) {
        return runWithoutProof(view, floor);
      }
      floor = LogPosition.max(floor, proved.get());
    }
    MemberView replica = chooseReplica(view, floor, random);
    if (replica != null) {
      return runOnReplica(view, replica, floor);
    }
    return waitOrRunOnPrimary(view, floor, mayWait ? rule.maxWait().toNanos() : 0);
  }

  private RouteDecision runWithoutProof(GroupView view, LogPosition floor) {
    boolean unknown = floor.equals(LogPosition.START);
    return unknown && unknownSessions == UnknownSessions.ASK_MEMBERS
        ? ASK_MEMBERS
        : runOnPrimary(view, floor);
  }

  private RouteDecision runOnReplica(GroupView view, MemberView replica, LogPosition floor) {
    MemberView primary = usablePrimary(view, floor.term());
    boolean primaryHelps =
        primary != null
            && !primary.leaving()
            && outstanding.on(replica) - outstanding.on(primary) > PRIMARY_HELPS_ABOVE;
    MemberView chosen = primaryHelps ? primary : replica;
    return new RouteDecision.Run(chosen.member(), view.term(), floor);
  }

  /** Takes the better of two random replicas that qualify, or returns null if there is none. */
  private MemberView chooseReplica(GroupView view, LogPosition floor, RandomGenerator random) {
    int count = countQualifying(view, floor);
    if (count == 0) {
      return null;
    }
    int first = count == 1 ? 0 : random.nextInt(count);
    MemberView a = qualifying(view, floor, first);
    if (count == 1) {
      return a;
    }
    int second = (first + 1 + random.nextInt(count - 1)) % count;
    return lessLoaded(a, qualifying(view, floor, second));
  }

  private MemberView lessLoaded(MemberView a, MemberView b) {
    int difference = outstanding.on(a) - outstanding.on(b);
    if (difference != 0) {
      return difference < 0 ? a : b;
    }
    return b.near() && !a.near() ? b : a;
  }

  private static int countQualifying(GroupView view, LogPosition floor) {
    List<MemberView> members = view.members();
    int count = 0;
    for (int i = 0; i < members.size(); i++) {
      if (qualifies(view, members.get(i), floor)) {
        count++;
      }
    }
    return count;
  }

  private static MemberView qualifying(GroupView view, LogPosition floor, int ordinal) {
    List<MemberView> members = view.members();
    int left = ordinal;
    for (int i = 0; i < members.size(); i++) {
      MemberView member = members.get(i);
      if (qualifies(view, member, floor) && left-- == 0) {
        return member;
      }
    }
    throw new IllegalArgumentException("fewer members qualify than " + ordinal);
  }

  private static boolean qualifies(GroupView view, MemberView member, LogPosition floor) {
    return servesReads(view, member) && member.applied().compareTo(floor) >= 0;
  }

  private static boolean servesReads(GroupView view, MemberView member) {
    return member.reachable()
        && !member.leaving()
        && !member.joining()
        && !isPrimary(view, member.member());
  }

  private static boolean isPrimary(GroupView view, MemberId member) {
    return view.primary().isPresent() && view.primary().get().equals(member);
  }

  private RouteDecision waitOrRunOnPrimary(GroupView view, LogPosition floor, long maxWaitNanos) {
    MemberView soonest = null;
    long shortest = maxWaitNanos;
    for (MemberView member : view.members()) {
      long expected = expectedWaitNanos(member, floor);
      if (servesReads(view, member) && expected < shortest) {
        soonest = member;
        shortest = expected;
      }
    }
    if (soonest == null) {
      return runOnPrimary(view, floor);
    }
    long limit = Math.min(maxWaitNanos, Math.max(shortest, SHORTEST_WAIT_NANOS));
    return new RouteDecision.WaitFor(soonest.member(), floor, Duration.ofNanos(limit));
  }

  private static long expectedWaitNanos(MemberView member, LogPosition floor) {
    if (member.appliedPerSecond() <= 0) {
      return Long.MAX_VALUE;
    }
    // Indexes go on rising over terms; a member of an older term lacks at least one entry.
    long missing = Math.max(1, floor.index() - member.applied().index());
    return (long) (missing * (NANOS_PER_SECOND / member.appliedPerSecond()));
  }

  private static RouteDecision runOnPrimary(GroupView view, LogPosition floor) {
    MemberView primary = usablePrimary(view, floor.term());
    return primary == null
        ? WAIT_FOR_PRIMARY
        : new RouteDecision.Run(primary.member(), view.term(), floor);
  }

  /** Returns the primary, or null if it is unreachable or of a term before the session's. */
  private static MemberView usablePrimary(GroupView view, long floorTerm) {
    if (view.primary().isEmpty() || view.term() < floorTerm) {
      return null;
    }
    List<MemberView> members = view.members();
    for (int i = 0; i < members.size(); i++) {
      MemberView member = members.get(i);
      if (member.reachable() && member.member().equals(view.primary().get())) {
        return member;
      }
    }
    return null;
  }
}
