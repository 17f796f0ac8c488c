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
 * Chooses the member that runs a single statement or the first statement of a transaction.
 *
 * <pre>{@code
 * RouteDecision decision =
 *     router.routeRead(view, session.requirement(database), rule, clock.nanoTime(), random);
 * }</pre>
 *
 * <p>Reads go to replicas that satisfy the requirement of the session, so that the primary keeps
 * its capacity for writes. The last known state of a member may be out of date, so the caller must
 * also check the position in the response against {@link RouteDecision.Run#requiredPosition()}.
 *
 * <p>Thread-safe if the given counts are: a router has no mutable state, and traffic threads share
 * one instance.
 */
public final class StatementRouter {

  /**
   * A read goes to the primary if the chosen replica has more outstanding statements than the
   * primary by more than this number.
   */
  private static final int MAX_REPLICA_EXCESS = 8;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long MIN_WAIT_NANOS = 1_000_000L;
  private static final RouteDecision WAIT_FOR_PRIMARY = new RouteDecision.WaitForPrimary();

  private static final RouteDecision ASK_MEMBERS = new RouteDecision.AskMembers();

  /** How to route reads of sessions about which nothing is known. */
  public enum UnknownSessionPolicy {
    /**
     * The primary known to this proxy serves the read at once.
     *
     * <p>Until this proxy learns of a new primary, such a session may miss its own writes. Use only
     * as a baseline for measurements and simulations.
     */
    RUN_ON_KNOWN_PRIMARY,
    /** The read first waits for {@link RouteDecision.AskMembers}; then a replica may serve it. */
    ASK_MEMBERS
  }

  private final OutstandingStatements outstanding;
  private final UnknownSessionPolicy unknownSessions;

  /** Creates a router that asks the members before it routes reads of unknown sessions. */
  public StatementRouter(OutstandingStatements outstanding) {
    this(outstanding, UnknownSessionPolicy.ASK_MEMBERS);
  }

  /**
   * Creates a router.
   *
   * @param outstanding statements in flight on each member, by which reads are balanced
   * @param unknownSessions how to route reads of sessions about which nothing is known
   */
  public StatementRouter(OutstandingStatements outstanding, UnknownSessionPolicy unknownSessions) {
    this.outstanding = outstanding;
    this.unknownSessions = unknownSessions;
  }

  /** Routes a read that has just arrived. */
  public RouteDecision routeRead(
      GroupView view,
      ReadRequirement requirement,
      ReadRule rule,
      long nowNanos,
      RandomGenerator random) {
    return routeRead(view, requirement, rule, nowNanos, true, random);
  }

  /**
   * Routes a read that has already waited and must not wait for a replica again.
   *
   * @param arrivedNanos time at which the read arrived, from which the age of its data is counted
   */
  public RouteDecision routeReadAfterWait(
      GroupView view,
      ReadRequirement requirement,
      ReadRule rule,
      long arrivedNanos,
      RandomGenerator random) {
    return routeRead(view, requirement, rule, arrivedNanos, false, random);
  }

  /** Routes a write that does not depend on earlier statements of its session. */
  public RouteDecision routeWrite(GroupView view) {
    return routeWrite(view, LogPosition.START);
  }

  /**
   * Routes a write, or a transaction that may write.
   *
   * @param requiredPosition position that the session has seen; a primary of an earlier term has
   *     been replaced, and a transaction on it would not see the session's own writes
   */
  public RouteDecision routeWrite(GroupView view, LogPosition requiredPosition) {
    if (view.members().isEmpty()) {
      return new RouteDecision.Refuse(NotRunReason.NO_PRIMARY);
    }
    return runOnPrimary(view, requiredPosition);
  }

  private RouteDecision routeRead(
      GroupView view,
      ReadRequirement requirement,
      ReadRule rule,
      long arrivedNanos,
      boolean mayWait,
      RandomGenerator random) {
    if (view.members().isEmpty()) {
      return new RouteDecision.Refuse(NotRunReason.NO_PRIMARY);
    }
    LogPosition requiredPosition = requirement.position();
    boolean primaryOnly = requirement instanceof ReadRequirement.PrimaryOnly;
    if (primaryOnly || rule.maxAge().isPresent()) {
      // The position of the primary at arrival also covers writes whose outcome is unknown.
      long ageNanos = primaryOnly ? 0 : rule.maxAge().get().toNanos();
      Optional<LogPosition> confirmed = view.positionAsOf(arrivedNanos - ageNanos);
      if (confirmed.isEmpty()) {
        return routeWithoutConfirmedPosition(view, requiredPosition);
      }
      requiredPosition = LogPosition.max(requiredPosition, confirmed.get());
    }
    MemberView replica = chooseReplica(view, requiredPosition, random);
    if (replica != null) {
      return runOnReplica(view, replica, requiredPosition);
    }
    return waitOrRunOnPrimary(view, requiredPosition, mayWait ? rule.maxWait().toNanos() : 0);
  }

  private RouteDecision routeWithoutConfirmedPosition(
      GroupView view, LogPosition requiredPosition) {
    boolean unknown = requiredPosition.equals(LogPosition.START);
    return unknown && unknownSessions == UnknownSessionPolicy.ASK_MEMBERS
        ? ASK_MEMBERS
        : runOnPrimary(view, requiredPosition);
  }

  private RouteDecision runOnReplica(
      GroupView view, MemberView replica, LogPosition requiredPosition) {
    MemberView primary = usablePrimary(view, requiredPosition.term());
    boolean overloaded =
        primary != null
            && !primary.leaving()
            && outstanding.count(replica) - outstanding.count(primary) > MAX_REPLICA_EXCESS;
    MemberView chosen = overloaded ? primary : replica;
    return new RouteDecision.Run(chosen.member(), view.term(), requiredPosition);
  }

  /** Returns the less loaded of two random eligible replicas, or null if there is none. */
  private MemberView chooseReplica(
      GroupView view, LogPosition requiredPosition, RandomGenerator random) {
    int count = countEligible(view, requiredPosition);
    if (count == 0) {
      return null;
    }
    int first = count == 1 ? 0 : random.nextInt(count);
    MemberView a = eligibleReplica(view, requiredPosition, first);
    if (count == 1) {
      return a;
    }
    int second = (first + 1 + random.nextInt(count - 1)) % count;
    return lessLoaded(a, eligibleReplica(view, requiredPosition, second));
  }

  private MemberView lessLoaded(MemberView a, MemberView b) {
    int difference = outstanding.count(a) - outstanding.count(b);
    if (difference != 0) {
      return difference < 0 ? a : b;
    }
    return b.sameFailureDomain() && !a.sameFailureDomain() ? b : a;
  }

  private static int countEligible(GroupView view, LogPosition requiredPosition) {
    List<MemberView> members = view.members();
    int count = 0;
    for (int i = 0; i < members.size(); i++) {
      if (isEligible(view, members.get(i), requiredPosition)) {
        count++;
      }
    }
    return count;
  }

  private static MemberView eligibleReplica(
      GroupView view, LogPosition requiredPosition, int ordinal) {
    List<MemberView> members = view.members();
    int remaining = ordinal;
    for (int i = 0; i < members.size(); i++) {
      MemberView member = members.get(i);
      if (isEligible(view, member, requiredPosition) && remaining-- == 0) {
        return member;
      }
    }
    throw new IllegalArgumentException("no eligible replica at index " + ordinal);
  }

  private static boolean isEligible(
      GroupView view, MemberView member, LogPosition requiredPosition) {
    return canServeReads(view, member) && member.applied().compareTo(requiredPosition) >= 0;
  }

  private static boolean canServeReads(GroupView view, MemberView member) {
    return member.reachable()
        && !member.leaving()
        && !member.joining()
        && !isPrimary(view, member.member());
  }

  private static boolean isPrimary(GroupView view, MemberId member) {
    return view.primary().isPresent() && view.primary().get().equals(member);
  }

  private RouteDecision waitOrRunOnPrimary(
      GroupView view, LogPosition requiredPosition, long maxWaitNanos) {
    MemberView fastest = null;
    long shortestWait = maxWaitNanos;
    for (MemberView member : view.members()) {
      long expectedWait = expectedWaitNanos(member, requiredPosition);
      if (canServeReads(view, member) && expectedWait < shortestWait) {
        fastest = member;
        shortestWait = expectedWait;
      }
    }
    if (fastest == null) {
      return runOnPrimary(view, requiredPosition);
    }
    long limit = Math.min(maxWaitNanos, Math.max(shortestWait, MIN_WAIT_NANOS));
    return new RouteDecision.WaitForPosition(
        fastest.member(), requiredPosition, Duration.ofNanos(limit));
  }

  private static long expectedWaitNanos(MemberView member, LogPosition requiredPosition) {
    if (member.appliedPerSecond() <= 0) {
      return Long.MAX_VALUE;
    }
    // Indexes keep rising across terms; a member of an earlier term lacks at least one entry.
    long missing = Math.max(1, requiredPosition.index() - member.applied().index());
    return (long) (missing * (NANOS_PER_SECOND / member.appliedPerSecond()));
  }

  private static RouteDecision runOnPrimary(GroupView view, LogPosition requiredPosition) {
    MemberView primary = usablePrimary(view, requiredPosition.term());
    return primary == null
        ? WAIT_FOR_PRIMARY
        : new RouteDecision.Run(primary.member(), view.term(), requiredPosition);
  }

  /** Returns the primary, or null if it is unreachable or its term is below the required one. */
  private static MemberView usablePrimary(GroupView view, long requiredTerm) {
    if (view.primary().isEmpty() || view.term() < requiredTerm) {
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
