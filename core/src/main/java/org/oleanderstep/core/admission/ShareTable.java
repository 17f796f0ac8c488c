package org.oleanderstep.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.oleanderstep.core.membership.RendezvousHash;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Assigns the shares of the rate and burst of each organisation to VMs.
 *
 * <p>Every rate is divided into equal slots, each of which is held by one VM. The number of slots
 * is the same in all versions of the table, so that an organisation whose burst is too small to
 * split moves to another VM only if the holder of its home slot changes. Immutable.
 *
 * @param version increases by one with each publication
 * @param publicationId random identifier, by which a publisher finds out whether its update took
 *     effect if the response was lost
 * @param vmListVersion version of the platform's VM list that the table is based on; a table must
 *     not be changed by an older list, which lacks VMs that started later
 * @param splitOver number of VMs of the first table; a burst of less than {@link #MIN_BURST_PER_VM}
 *     for each of them is not split
 */
public record ShareTable(
    long version, String publicationId, long vmListVersion, int splitOver, List<Slot> slots) {

  /** Statements of burst for each VM that an organisation needs to be split. */
  public static final int MIN_BURST_PER_VM = 2;

  /**
   * An equal fraction of all rates and bursts.
   *
   * @param since version of the table in which the holder received the slot
   */
  public record Slot(VmId holder, long since) {}

  /** Checks the version and the sizes, and copies the list. */
  public ShareTable {
    if (version < 1) {
      throw new IllegalArgumentException("version must be positive: " + version);
    }
    if (splitOver < 1 || slots.isEmpty()) {
      throw new IllegalArgumentException("a share table needs at least one slot and one VM");
    }
    slots = List.copyOf(slots);
  }

  /** Returns the number of slots that a VM holds. */
  public int slotsOf(VmId vm) {
    return (int) slots.stream().filter(slot -> slot.holder().equals(vm)).count();
  }

  /** Returns the share that a VM has of each organisation that is split, from 0 to 1. */
  public double shareOf(VmId vm) {
    return (double) slotsOf(vm) / slots.size();
  }

  /** Returns whether an organisation with this burst is split over all slots. */
  public boolean isSplit(double burst) {
    return burst >= (double) MIN_BURST_PER_VM * splitOver;
  }

  /**
   * Returns the index of the slot that has the entire rate of an organisation if it is not split.
   */
  public int homeSlot(OrganisationId organisation) {
    int home = 0;
    long highest = 0;
    for (int index = 0; index < slots.size(); index++) {
      long weight = RendezvousHash.weight(organisation.name(), "slot-" + index);
      if (index == 0 || Long.compareUnsigned(weight, highest) > 0) {
        home = index;
        highest = weight;
      }
    }
    return home;
  }

  /** Returns all VMs that hold a slot, in the order of their names. */
  public Set<VmId> holders() {
    Set<VmId> holders = new TreeSet<>(Comparator.comparing(VmId::name));
    slots.forEach(slot -> holders.add(slot.holder()));
    return holders;
  }
}
