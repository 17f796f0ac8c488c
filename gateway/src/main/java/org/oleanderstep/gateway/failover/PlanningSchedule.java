package org.oleanderstep.gateway.failover;

import java.time.Duration;
import java.util.List;
import org.oleanderstep.gateway.control.TargetMember;

/**
 * Decides when to check whether a primary has to be replaced.
 *
 * <pre>{@code
 * if (schedule.isDue(members, mayHaveFailed, now)) {
 *   planner.planPromotions(view, now);
 * }
 * }</pre>
 *
 * <p>The cost of a check grows with the members and the VMs. While there is no sign of a failure,
 * checks are therefore rare.
 *
 * <p>Not thread-safe; call only from the control thread. Times are in nanoseconds of the monotonic
 * clock.
 */
public final class PlanningSchedule {

  /** Interval of the checks while there is no sign of a failure. */
  static final Duration CALM_INTERVAL = Duration.ofMillis(300);

  private List<TargetMember> checkedMembers = List.of();
  private long checkedAt;

  /**
   * Returns whether a check is due, and records it as done.
   *
   * @param members all registered members
   * @param mayHaveFailed whether any VM suspects a member, or a primary is unknown or unreachable
   */
  public boolean isDue(List<TargetMember> members, boolean mayHaveFailed, long now) {
    boolean calm =
        !mayHaveFailed
            && members.equals(checkedMembers)
            && members.stream().noneMatch(TargetMember::draining);
    if (members.isEmpty() || (calm && now - checkedAt < CALM_INTERVAL.toNanos())) {
      return false;
    }
    checkedMembers = members;
    checkedAt = now;
    return true;
  }
}
