package org.oleanderstep.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.oleanderstep.core.membership.RendezvousHash;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Which VM holds which part of the rate and burst of each organisation.
 *
 * <p>Every rate is divided into equal slots. The number of slots stays the same for the life of the
 * table, so that the place of an organisation whose burst is too small to split changes only if the
 * holder of its slot does.
 *
 * @param version rises by one with each publication
 * @param publicationId random; tells whether an update took effect when its answer was lost
 * @param vmListVersion version of the platform's list that the table is based on; an older list
 *     must not be used to change it, since it lacks VMs that started later
 * @param splitOver number of VMs of the first table; a burst below two requests for each of them is
 *     not split
 */
public record ShareTable(
    long version, String publicationId, long vmListVersion, int splitOver, List<Slot> slots) {

  /** Statements of burst that each VM must be able to hold for an organisation to be split. */
  public static final int MIN_BURST_PER_VM = 2;

  /**
   * A part of all rates.
   *
   * @param since version of the table in which the holder got the slot
   */
  public record Slot(VmId holder, long since) {}

  /** Checks the numbers and copies the list. */
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

  /** Returns the share of a VM in every rate that is split, from 0 to 1. */
  public double shareOf(VmId vm) {
    return (double) slotsOf(vm) / slots.size();
  }

  /** Returns whether an organisation with a burst is split over all slots. */
  public boolean isSplit(double burst) {
    return burst >= (double) MIN_BURST_PER_VM * splitOver;
  }

  /** Returns the index of the slot that has the whole rate of an organisation that is not split. */
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

  /** Returns all VMs that hold a slot, by name. */
  public Set<VmId> holders() {
    Set<VmId> holders = new TreeSet<>(Comparator.comparing(VmId::name));
    slots.forEach(slot -> holders.add(slot.holder()));
    return holders;
  }
}
