package org.oleanderstep.gateway.control;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.oleanderstep.core.model.MemberId;

/**
 * The members that statements may be sent to.
 *
 * <p>While the store is unavailable, the entry of a healthy member may expire; it reappears within
 * about two seconds of the store's return. A member that did not announce its stop is therefore
 * kept for a grace period after its entry has disappeared.
 *
 * <p>Not thread-safe; call from one thread only. Times are in nanoseconds of the monotonic clock.
 */
public final class MemberDirectory {

  private static final Duration ENTRY_GRACE_PERIOD = Duration.ofMillis(2_500);

  private final Map<MemberId, Long> missingSince = new HashMap<>();
  private List<TargetMember> members = List.of();

  /** Replaces the listed entries. Members that are no longer listed start their grace period. */
  public void update(Collection<TargetMember> listed, long now) {
    Set<MemberId> ids = listed.stream().map(TargetMember::id).collect(Collectors.toSet());
    Set<InetSocketAddress> addresses =
        listed.stream().map(TargetMember::address).collect(Collectors.toSet());
    missingSince.keySet().removeAll(ids);
    List<TargetMember> next = new ArrayList<>(listed);
    for (TargetMember member : members) {
      boolean replacedOrDraining = ids.contains(member.id()) || member.draining();
      if (!replacedOrDraining && !addresses.contains(member.address())) {
        missingSince.putIfAbsent(member.id(), now);
        next.add(member);
      }
    }
    members = List.copyOf(next);
    expire(now);
  }

  /** Removes members whose grace period is over; returns whether there were any. */
  public boolean expire(long now) {
    if (missingSince.isEmpty()) {
      return false;
    }
    List<TargetMember> kept = new ArrayList<>(members);
    kept.removeIf(member -> isExpired(member, now));
    boolean changed = kept.size() < members.size();
    members = List.copyOf(kept);
    return changed;
  }

  private boolean isExpired(TargetMember member, long now) {
    Long since = missingSince.get(member.id());
    return since != null && now - since > ENTRY_GRACE_PERIOD.toNanos();
  }

  /** Returns the members that may be used, including those in their grace period. */
  public List<TargetMember> members() {
    return members;
  }
}
