package org.oleanderstep.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.VmId;

class UpstreamSelectorTest {

  private static final String DOMAIN = "domain-a";
  private static final long BACKOFF = Duration.ofSeconds(5).toNanos();

  private static Set<VmId> vms(int count) {
    return IntStream.range(0, count).mapToObj(i -> new VmId("vm-" + i)).collect(Collectors.toSet());
  }

  private static Map<VmId, Optional<VmId>> selections(Set<VmId> vms) {
    Map<VmId, Optional<VmId>> selections = new HashMap<>();
    vms.forEach(vm -> selections.put(vm, new UpstreamSelector(vm, DOMAIN).select(vms, 0)));
    return selections;
  }

  private static VmId first(Set<VmId> vms) {
    return selections(vms).entrySet().stream()
        .filter(each -> each.getValue().isEmpty())
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  // The load on the platform must not grow with the number of VMs.
  @Test
  void should_let_one_vm_of_a_domain_watch_the_platform() {
    for (int count : List.of(3, 7, 133)) {
      Set<VmId> vms = vms(count);
      VmId root = first(vms);

      selections(vms)
          .forEach(
              (vm, upstream) ->
                  assertThat(upstream)
                      .isEqualTo(vm.equals(root) ? Optional.empty() : Optional.of(root)));
    }
  }

  @Test
  void should_watch_the_platform_in_a_small_domain() {
    selections(vms(2)).values().forEach(upstream -> assertThat(upstream).isEmpty());
  }

  // A VM that has just started is not in the list of live VMs yet.
  @Test
  void should_count_itself_if_it_is_not_listed() {
    Set<VmId> vms = vms(3);
    Set<VmId> others = new HashSet<>(vms);
    VmId self = vms.stream().filter(vm -> !vm.equals(first(vms))).findFirst().orElseThrow();
    others.remove(self);

    assertThat(new UpstreamSelector(self, DOMAIN).select(others, 0)).hasValue(first(vms));
  }

  @Test
  void should_select_the_second_vm_after_the_first_one_failed() {
    Set<VmId> vms = vms(8);
    VmId root = first(vms);
    Set<VmId> rest = new HashSet<>(vms);
    rest.remove(root);
    VmId second = first(rest);

    for (VmId vm : rest) {
      UpstreamSelector selector = new UpstreamSelector(vm, DOMAIN);
      selector.onFailed(root, 0);

      assertThat(selector.select(vms, 1))
          .isEqualTo(vm.equals(second) ? Optional.empty() : Optional.of(second));
      assertThat(selector.select(vms, BACKOFF)).hasValue(root);
    }
  }

  // If several VMs fail, a VM must not search all others before it watches the platform itself.
  @Test
  void should_watch_the_platform_after_two_failures() {
    Set<VmId> vms = vms(20);
    for (VmId vm : vms) {
      UpstreamSelector selector = new UpstreamSelector(vm, DOMAIN);
      for (int i = 0; i < 2; i++) {
        selector.select(vms, 1).ifPresent(upstream -> selector.onFailed(upstream, 1));
      }

      assertThat(selector.select(vms, 2)).isEmpty();
    }
  }
}
