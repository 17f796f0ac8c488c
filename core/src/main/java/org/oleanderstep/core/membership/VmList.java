package org.oleanderstep.core.membership;

import java.util.Set;
import org.oleanderstep.core.model.VmId;

/**
 * The platform's list of VMs, which lags behind.
 *
 * @param version version of the list at the platform; a higher one replaces a lower one
 * @param live VMs that run
 * @param leaving VMs that the platform is about to terminate; they still run
 */
public record VmList(long version, Set<VmId> live, Set<VmId> leaving) {

  /** Copies the sets. */
  public VmList {
    live = Set.copyOf(live);
    leaving = Set.copyOf(leaving);
  }

  /** Returns whether the platform still has the VM, live or leaving. */
  public boolean has(VmId vm) {
    return live.contains(vm) || leaving.contains(vm);
  }
}
