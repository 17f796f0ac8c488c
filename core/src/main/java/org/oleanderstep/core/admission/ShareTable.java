package org.oleanderstep.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
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
 * @param splitOver number of VMs of the first table; a burst below two requests for each of them is
 *     not split
 * @param slots holder of each slot
 */
public record ShareTable(long version, String publicationId, int splitOver, List<VmId> slots) {

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
    int count = 0;
    for (VmId holder : slots) {
      if (holder.equals(vm)) {
        count++;
      }
    }
    return count;
  }

  /** Returns the share of a VM in every rate that is split, from 0 to 1. */
  public double shareOf(VmId vm) {
    return (double) slotsOf(vm) / slots.size();
  }

  /** Returns all VMs that hold a slot, by name. */
  public Set<VmId> holders() {
    Set<VmId> holders = new TreeSet<>(Comparator.comparing(VmId::name));
    holders.addAll(slots);
    return holders;
  }
}
