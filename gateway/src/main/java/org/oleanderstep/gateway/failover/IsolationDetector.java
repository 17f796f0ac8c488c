package org.oleanderstep.gateway.failover;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.gateway.control.TargetMember;

/**
 * Finds the services whose primary this VM can't reach, and which no majority of the VMs misses.
 *
 * <pre>{@code
 * Set<String> services = detector.update(members, unproved, suspects, votes, vms, now);
 * }</pre>
 *
 * <p>Answers a partition between this VM and a primary: callers are served better by the other VMs.
 * While a majority misses a primary it is replaced, and moving callers helps nobody. Belongs to the
 * control thread; times are steady nanoseconds.
 */
public final class IsolationDetector {

  /** A promotion may settle what looks like a partition. */
  private static final Duration CONFIRMATION = Duration.ofSeconds(1);

  private final Map<String, Long> unreachableSince = new HashMap<>();

  /**
   * Returns the services from whose primary this VM is cut off.
   *
   * @param members all members that are registered
   * @param unproved services of which no member has lately shown this VM that it leads
   * @param ownSuspects members from which this VM gets no answer
   * @param votes the number of VMs that get no answer from a member, with this one
   * @param vms VMs that take part
   */
  public Set<String> update(
      Collection<TargetMember> members,
      Set<String> unproved,
      Set<MemberId> ownSuspects,
      Map<MemberId, Integer> votes,
      int vms,
      long now) {
    Set<String> alone =
        members.stream()
            .filter(TargetMember::claimsPrimary)
            .filter(member -> ownSuspects.contains(member.id()))
            .filter(member -> votes.getOrDefault(member.id(), 0) * 2 <= vms)
            .map(TargetMember::service)
            .filter(unproved::contains)
            .collect(Collectors.toSet());
    unreachableSince.keySet().retainAll(alone);
    alone.forEach(service -> unreachableSince.putIfAbsent(service, now));
    return confirmed(now);
  }

  private Set<String> confirmed(long now) {
    Set<String> services = new HashSet<>();
    unreachableSince.forEach(
        (service, since) -> {
          if (now - since >= CONFIRMATION.toNanos()) {
            services.add(service);
          }
        });
    return services;
  }
}
