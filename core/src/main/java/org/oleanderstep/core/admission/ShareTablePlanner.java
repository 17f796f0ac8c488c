package org.oleanderstep.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.admission.ShareTable.Slot;
import org.oleanderstep.core.membership.VmList;
import org.oleanderstep.core.model.VmId;

/**
 * Plans the next share table, to be published by a conditional update on the version it is based
 * on.
 *
 * <pre>{@code
 * ShareTablePlanner.next(table, vmList, newPublicationId()).ifPresent(this::publish);
 * }</pre>
 *
 * <p>A slot leaves a VM only after the platform's list no longer has the VM, or by the VM's own
 * {@link #handOver}.
 */
public final class ShareTablePlanner {

  /** Slots for each VM of the first table; more let a share move in smaller parts. */
  public static final int SLOTS_PER_VM = 4;

  private static final Comparator<VmId> BY_NAME = Comparator.comparing(VmId::name);

  private ShareTablePlanner() {}

  /**
   * Returns the first table, which divides all slots evenly over the live VMs of the list.
   *
   * @throws IllegalArgumentException if the list has no live VM
   */
  public static ShareTable first(VmList list, String publicationId) {
    List<VmId> vms = list.live().stream().sorted(BY_NAME).toList();
    if (vms.isEmpty()) {
      throw new IllegalArgumentException("the list has no live VM to give shares to");
    }
    List<Slot> slots = new ArrayList<>();
    for (int index = 0; index < vms.size() * SLOTS_PER_VM; index++) {
      slots.add(new Slot(vms.get(index % vms.size()), 1));
    }
    return new ShareTable(1, publicationId, list.version(), vms.size(), slots);
  }

  /**
   * Returns the next table if slots are held by VMs that the platform's list no longer has; they
   * move to the live VMs that hold the fewest.
   */
  public static Optional<ShareTable> next(ShareTable held, VmList list, String publicationId) {
    boolean anyGone = held.slots().stream().anyMatch(slot -> !list.contains(slot.holder()));
    if (!anyGone || list.live().isEmpty() || list.version() < held.vmListVersion()) {
      return Optional.empty();
    }
    long version = held.version() + 1;
    Map<VmId, Integer> counts = liveCounts(held, list);
    List<Slot> slots = new ArrayList<>();
    for (Slot slot : held.slots()) {
      slots.add(list.contains(slot.holder()) ? slot : new Slot(takeFewest(counts), version));
    }
    return Optional.of(
        new ShareTable(version, publicationId, list.version(), held.splitOver(), slots));
  }

  private static Map<VmId, Integer> liveCounts(ShareTable table, VmList list) {
    Map<VmId, Integer> counts = new HashMap<>();
    list.live().forEach(vm -> counts.put(vm, table.slotsOf(vm)));
    return counts;
  }

  private static VmId takeFewest(Map<VmId, Integer> counts) {
    VmId fewest = fewest(counts);
    counts.merge(fewest, 1, Integer::sum);
    return fewest;
  }

  private static VmId fewest(Map<VmId, Integer> counts) {
    return counts.keySet().stream()
        .min(Comparator.<VmId>comparingInt(counts::get).thenComparing(BY_NAME))
        .orElseThrow();
  }

  /**
   * Returns a VM that this VM should hand a slot to, if one holds at least two fewer. The giver
   * calls {@link ShareLedger#release} first, and then publishes {@link #handOver}.
   */
  public static Optional<VmId> receiverOfSurplus(ShareTable held, VmList list, VmId giver) {
    Map<VmId, Integer> counts = liveCounts(held, list);
    if (counts.isEmpty() || list.version() < held.vmListVersion()) {
      return Optional.empty();
    }
    VmId receiver = fewest(counts);
    return Optional.of(receiver)
        .filter(vm -> held.slotsOf(giver) - counts.get(vm) >= 2 && !vm.equals(giver));
  }

  /**
   * Returns the next table in which one slot of the giver belongs to the receiver. Only the giver
   * itself may publish it, after it stopped using the slot.
   */
  public static ShareTable handOver(
      ShareTable held, VmList list, int slot, VmId receiver, String publicationId) {
    long version = held.version() + 1;
    List<Slot> slots = new ArrayList<>(held.slots());
    slots.set(slot, new Slot(receiver, version));
    long listVersion = Math.max(list.version(), held.vmListVersion());
    return new ShareTable(version, publicationId, listVersion, held.splitOver(), slots);
  }
}
