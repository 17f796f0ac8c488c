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
 * Computes the next share table, to be published by an update that is conditional on the version
 * that it is based on.
 *
 * <pre>{@code
 * ShareTablePlanner.next(table, vmList, newPublicationId()).ifPresent(this::publish);
 * }</pre>
 *
 * <p>A VM loses a slot only after the platform has removed the VM from its list, or by its own
 * {@link #handOver}. Until then it may still be using its slots.
 */
public final class ShareTablePlanner {

  /** Slots for each VM of the first table. With more slots, shares move in smaller steps. */
  public static final int SLOTS_PER_VM = 4;

  private static final Comparator<VmId> BY_NAME = Comparator.comparing(VmId::name);

  private ShareTablePlanner() {}

  /**
   * Returns the first table, which divides all slots evenly among the live VMs of the list.
   *
   * @throws IllegalArgumentException if the list has no live VM
   */
  public static ShareTable first(VmList list, String publicationId) {
    List<VmId> vms = list.live().stream().sorted(BY_NAME).toList();
    if (vms.isEmpty()) {
      throw new IllegalArgumentException("the VM list has no live VM to assign shares to");
    }
    List<Slot> slots = new ArrayList<>();
    for (int index = 0; index < vms.size() * SLOTS_PER_VM; index++) {
      slots.add(new Slot(vms.get(index % vms.size()), 1));
    }
    return new ShareTable(1, publicationId, list.version(), vms.size(), slots);
  }

  /**
   * Returns the next table if any slot is held by a VM that the platform's list no longer contains.
   * Such slots move to the live VMs that hold the fewest.
   */
  public static Optional<ShareTable> next(ShareTable current, VmList list, String publicationId) {
    boolean anyRemoved = current.slots().stream().anyMatch(slot -> !list.contains(slot.holder()));
    if (!anyRemoved || list.live().isEmpty() || list.version() < current.vmListVersion()) {
      return Optional.empty();
    }
    long version = current.version() + 1;
    Map<VmId, Integer> counts = liveCounts(current, list);
    List<Slot> slots = new ArrayList<>();
    for (Slot slot : current.slots()) {
      slots.add(list.contains(slot.holder()) ? slot : new Slot(assignToFewest(counts), version));
    }
    return Optional.of(
        new ShareTable(version, publicationId, list.version(), current.splitOver(), slots));
  }

  private static Map<VmId, Integer> liveCounts(ShareTable table, VmList list) {
    Map<VmId, Integer> counts = new HashMap<>();
    list.live().forEach(vm -> counts.put(vm, table.slotsOf(vm)));
    return counts;
  }

  private static VmId assignToFewest(Map<VmId, Integer> counts) {
    VmId fewest = vmWithFewest(counts);
    counts.merge(fewest, 1, Integer::sum);
    return fewest;
  }

  private static VmId vmWithFewest(Map<VmId, Integer> counts) {
    return counts.keySet().stream()
        .min(Comparator.<VmId>comparingInt(counts::get).thenComparing(BY_NAME))
        .orElseThrow();
  }

  /**
   * Returns the VM that a donor should hand a slot to: the one with the fewest, if it holds at
   * least two fewer. The donor calls {@link AdmissionController#release} first, and then publishes
   * {@link #handOver}.
   */
  public static Optional<VmId> receiverOfSurplus(ShareTable current, VmList list, VmId donor) {
    Map<VmId, Integer> counts = liveCounts(current, list);
    if (counts.isEmpty() || list.version() < current.vmListVersion()) {
      return Optional.empty();
    }
    VmId receiver = vmWithFewest(counts);
    return Optional.of(receiver)
        .filter(vm -> current.slotsOf(donor) - counts.get(vm) >= 2 && !vm.equals(donor));
  }

  /**
   * Returns the next table, in which one slot of the donor belongs to the receiver. Only the donor
   * may publish it, after it has stopped using the slot.
   */
  public static ShareTable handOver(
      ShareTable current, VmList list, int slot, VmId receiver, String publicationId) {
    long version = current.version() + 1;
    List<Slot> slots = new ArrayList<>(current.slots());
    slots.set(slot, new Slot(receiver, version));
    long listVersion = Math.max(list.version(), current.vmListVersion());
    return new ShareTable(version, publicationId, listVersion, current.splitOver(), slots);
  }
}
