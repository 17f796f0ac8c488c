package org.oleanderstep.proxy.internal.convert;

import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.oleanderstep.core.membership.VmList;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.schema.v1.Vm;
import org.oleanderstep.schema.v1.VmKind;

/** Converts the platform's list of VMs; entries with a blank name are left out. */
public final class VmListConverter {

  private VmListConverter() {}

  /** Returns the VMs that run proxies. */
  public static VmList toCore(org.oleanderstep.schema.v1.VmList list) {
    return new VmList(
        list.getVersion(), proxies(list, vm -> !vm.getLeaving()), proxies(list, Vm::getLeaving));
  }

  /** Returns the members whose VMs are leaving. */
  public static Set<MemberId> leavingMembers(org.oleanderstep.schema.v1.VmList list) {
    return named(list)
        .filter(vm -> vm.getKind() == VmKind.TARGET && vm.getLeaving())
        .map(vm -> new MemberId(vm.getName()))
        .collect(Collectors.toUnmodifiableSet());
  }

  private static Set<VmId> proxies(
      org.oleanderstep.schema.v1.VmList list, Predicate<Vm> condition) {
    return named(list)
        .filter(vm -> vm.getKind() == VmKind.ENTRY && condition.test(vm))
        .map(vm -> new VmId(vm.getName()))
        .collect(Collectors.toUnmodifiableSet());
  }

  private static Stream<Vm> named(org.oleanderstep.schema.v1.VmList list) {
    return list.getVmsList().stream().filter(vm -> !vm.getName().isBlank());
  }
}
