package org.oleanderstep.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.admission.ShareTable.Slot;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * The slots that this VM holds, and the times from which this process may use them.
 *
 * <p>A slot that is new to the process stays unused for the hold time. Tokens that its previous
 * holder transferred may still be in flight, and would exist twice if the slot accrued tokens
 * meanwhile. Not thread-safe.
 */
final class HeldSlots {

  private final VmId self;
  private final long holdNanos;
  private final Map<Integer, Long> usableAt = new HashMap<>();
  private final Set<Integer> released = new HashSet<>();
  private final Map<OrganisationId, Integer> homeSlots = new HashMap<>();
  private Optional<ShareTable> table = Optional.empty();

  HeldSlots(VmId self, long holdNanos) {
    this.self = self;
    this.holdNanos = holdNanos;
  }

  Optional<ShareTable> table() {
    return table;
  }

  long version() {
    return table.map(ShareTable::version).orElse(0L);
  }

  /** Adopts a table with a higher version. */
  void adopt(ShareTable next, long now) {
    long heldVersion = version();
    Map<Integer, Long> previous = new HashMap<>(usableAt);
    previous.keySet().removeAll(released);
    released.clear();
    usableAt.clear();
    for (int index = 0; index < next.slots().size(); index++) {
      Slot slot = next.slots().get(index);
      if (slot.holder().equals(self)) {
        boolean kept = previous.containsKey(index) && slot.since() <= heldVersion;
        usableAt.put(index, kept ? previous.get(index) : now + holdNanos);
      }
    }
    homeSlots.clear();
    table = Optional.of(next);
  }

  /** Stops using a slot until a table with a higher version assigns it. */
  void release(int slot) {
    released.add(slot);
  }

  private boolean isUsable(int slot, long now) {
    Long at = usableAt.get(slot);
    return at != null && now - at >= 0 && !released.contains(slot);
  }

  /** Returns the usable share of an organisation that is split over all slots. */
  double splitShare(long now) {
    if (table.isEmpty()) {
      return 0;
    }
    long usable = usableAt.keySet().stream().filter(slot -> isUsable(slot, now)).count();
    return (double) usable / table.get().slots().size();
  }

  /** Returns the usable share of an organisation that is not split: 1 at its home slot, else 0. */
  double unsplitShare(OrganisationId organisation, long now) {
    return table.isPresent() && isUsable(homeSlot(organisation), now) ? 1 : 0;
  }

  /** Returns the share of a peer according to the current table. */
  double shareOf(VmId peer, OrganisationId organisation, boolean split) {
    ShareTable held = table.orElseThrow();
    if (split) {
      return held.shareOf(peer);
    }
    return held.slots().get(homeSlot(organisation)).holder().equals(peer) ? 1 : 0;
  }

  private int homeSlot(OrganisationId organisation) {
    return homeSlots.computeIfAbsent(organisation, table.orElseThrow()::homeSlot);
  }
}
