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
 * Detects the services whose primary this VM cannot reach although no majority of the VMs reports
 * it as unreachable.
 *
 * <pre>{@code
 * Set<String> services =
 *     detector.update(members, unconfirmed, suspects, votes, vmCount, now);
 * }</pre>
 *
 * <p>This is the case in a partition between this VM and a primary, in which callers are better
 * served by the other VMs. If a majority cannot reach a primary, the primary is replaced instead,
 * and moving callers to another VM would not help.
 *
 * <p>Not thread-safe; call only from the control thread. Times are in nanoseconds of the monotonic
 * clock.
 */
public final class IsolationDetector {

  /** Leaves time for a promotion that ends what looks like a partition. */
  private static final Duration CONFIRMATION_PERIOD = Duration.ofSeconds(1);

  private final Map<String, Long> unreachableSince = new HashMap<>();

  /**
   * Returns the services whose primary has been unreachable from this VM for the confirmation
   * period.
   *
   * @param members all registered members
   * @param unconfirmedServices services of which no member has recently confirmed to this VM that
   *     it is the primary
   * @param ownSuspects members that do not answer this VM
   * @param votes by member, the number of VMs that get no answer from it, including this VM
   * @param vmCount the number of participating VMs
   */
  public Set<String> update(
      Collection<TargetMember> members,
      Set<String> unconfirmedServices,
      Set<MemberId> ownSuspects,
      Map<MemberId, Integer> votes,
      int vmCount,
      long now) {
    Set<String> partitioned =
        members.stream()
            .filter(TargetMember::claimsPrimary)
            .filter(member -> ownSuspects.contains(member.id()))
            .filter(member -> votes.getOrDefault(member.id(), 0) * 2 <= vmCount)
            .map(TargetMember::service)
            .filter(unconfirmedServices::contains)
            .collect(Collectors.toSet());
    unreachableSince.keySet().retainAll(partitioned);
    partitioned.forEach(service -> unreachableSince.putIfAbsent(service, now));
    return confirmedServices(now);
  }

  private Set<String> confirmedServices(long now) {
    Set<String> services = new HashSet<>();
    unreachableSince.forEach(
        (service, since) -> {
          if (now - since >= CONFIRMATION_PERIOD.toNanos()) {
            services.add(service);
          }
        });
    return services;
  }
}
