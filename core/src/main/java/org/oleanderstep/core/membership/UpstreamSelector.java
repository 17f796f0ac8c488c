package org.oleanderstep.core.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.model.VmId;

/**
 * Decides from which VM this VM receives changes of the platform's objects, instead of watching the
 * platform itself.
 *
 * <pre>{@code
 * selector.select(liveVmsOfDomain, now).ifPresent(this::subscribe);
 * // if the subscription fails or ends:
 * selector.onFailed(upstream, now);
 * }</pre>
 *
 * <p>All VMs of a failure domain rank each other in the same order. The first one watches the
 * platform, the others subscribe to it; if it fails, they subscribe to the second one. The load on
 * the platform therefore depends on the number of failure domains, not on that of VMs, and changes
 * are passed on inside a failure domain only. A VM without an upstream watches the platform itself.
 *
 * <p>Not thread-safe. Times are in nanoseconds of a monotonic clock.
 */
public final class UpstreamSelector {

  /** With fewer VMs in a failure domain, a subscription saves hardly any calls. */
  private static final int MIN_VMS = 3;

  /** VMs that are tried before this VM watches the platform itself. */
  private static final int MAX_CANDIDATES = 2;

  /** Time for which a VM that failed as an upstream is not selected again. */
  private static final Duration BACKOFF = Duration.ofSeconds(5);

  private final VmId self;
  private final String failureDomain;
  private final Map<VmId, Long> failedAt = new HashMap<>();

  /** Creates a selector for a VM. */
  public UpstreamSelector(VmId self, String failureDomain) {
    this.self = self;
    this.failureDomain = failureDomain;
  }

  /**
   * Returns the VM to subscribe to; empty if this VM should watch the platform itself.
   *
   * @param liveVms the live VMs of this failure domain; this VM may be missing
   */
  public Optional<VmId> select(Set<VmId> liveVms, long now) {
    failedAt.values().removeIf(at -> now - at >= BACKOFF.toNanos());
    int others = liveVms.size() - (liveVms.contains(self) ? 1 : 0);
    if (others + 1 < MIN_VMS) {
      return Optional.empty();
    }
    return liveVms.stream()
        .filter(this::ranksBeforeSelf)
        .sorted(Comparator.comparingLong(this::rankKey))
        .limit(MAX_CANDIDATES)
        .filter(vm -> !failedAt.containsKey(vm))
        .findFirst();
  }

  private boolean ranksBeforeSelf(VmId vm) {
    return !vm.equals(self) && rankKey(vm) < rankKey(self);
  }

  /** Returns the weight as a signed number whose natural order is the order of the ranks. */
  private long rankKey(VmId vm) {
    return ~RendezvousHash.weight(failureDomain, vm.name()) ^ Long.MIN_VALUE;
  }

  /** Records that a VM could not be subscribed to, or that the subscription has ended. */
  public void onFailed(VmId vm, long now) {
    failedAt.put(vm, now);
  }
}
