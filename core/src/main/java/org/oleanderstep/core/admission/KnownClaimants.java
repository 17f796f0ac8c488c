package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.VmId;

/**
 * Determines the VMs whose claims must be respected.
 *
 * <pre>{@code
 * Set<VmId> known = claimants.update(reportedVms, claims.claimants(), now);
 * }</pre>
 *
 * <p>The report of a new VM may arrive after its claims. If its claims were removed, another VM
 * could claim the same share while the new one still uses it. A VM without a report is therefore
 * respected, unless its report was seen before and has since been deleted, or its claims can no
 * longer be valid. Not thread-safe.
 */
public final class KnownClaimants {

  private final Duration validity;
  private final Set<VmId> reportedBefore = new HashSet<>();
  private final Map<VmId, ClockReading> unreportedSince = new HashMap<>();

  /**
   * Creates an instance that has seen no report.
   *
   * @param validity time after which claims without a report can no longer be in use
   */
  public KnownClaimants(Duration validity) {
    this.validity = validity;
  }

  /**
   * Forgets which reports were seen, because the store was restored from an older copy: a report
   * that is missing now was not deleted, but lost.
   */
  public void forgetReports() {
    reportedBefore.clear();
    unreportedSince.clear();
  }

  /**
   * Returns the VMs whose claims must be respected.
   *
   * @param reported the VMs that have a report now
   * @param claimants the VMs that have claims now
   */
  public Set<VmId> update(Set<VmId> reported, Set<VmId> claimants, ClockReading now) {
    reportedBefore.addAll(reported);
    unreportedSince.keySet().retainAll(claimants);
    Set<VmId> known = new HashSet<>(reported);
    for (VmId vm : claimants) {
      if (!reportedBefore.contains(vm)) {
        ClockReading since = unreportedSince.computeIfAbsent(vm, v -> now);
        if (since.ageAt(now).compareTo(validity) < 0) {
          known.add(vm);
        }
      }
    }
    return known;
  }
}
