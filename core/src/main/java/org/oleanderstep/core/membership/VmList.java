package org.oleanderstep.core.membership;

import java.util.Set;
import org.oleanderstep.core.model.VmId;

/**
 * The platform's list of VMs. It is eventually consistent and can be out of date.
 *
 * @param version version given by the platform; a list replaces those with a lower version
 * @param live VMs that run
 * @param leaving VMs that the platform is about to terminate; they still run
 */
public record VmList(long version, Set<VmId> live, Set<VmId> leaving) {

  /** Copies the sets. */
  public VmList {
    live = Set.copyOf(live);
    leaving = Set.copyOf(leaving);
  }

  /** Returns whether the VM is on the list, live or leaving. */
  public boolean contains(VmId vm) {
    return live.contains(vm) || leaving.contains(vm);
  }
}
