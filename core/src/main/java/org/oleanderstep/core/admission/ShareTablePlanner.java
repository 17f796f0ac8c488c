package org.oleanderstep.core.admission;

import java.util.Optional;
import org.oleanderstep.core.membership.VmList;
import org.oleanderstep.core.model.VmId;

/**
 * Plans the next share table, to be published by a conditional update on the version it is based
 * on.
 *
 * <p>A slot leaves a VM only after the platform's list no longer has the VM, or by the VM's own
 * {@link #handOver}.
 */
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class ShareTablePlanner {

  /** Slots for each VM of the first table; more let a share move in smaller parts. */
  public static final int SLOTS_PER_VM = 4;

  private ShareTablePlanner() {}

  /**
   * Returns the first table, which divides all slots evenly over the live VMs of the list.
   *
   * @throws IllegalArgumentException if the list has no live VM
   */
  public static ShareTable first(VmList list, String publicationId) {
    throw new UnsupportedOperationException(list + publicationId);
  }

  /**
   * Returns the next table if slots are held by VMs that the platform's list no longer has; they
   * move to the live VMs that hold the fewest.
   */
  public static Optional<ShareTable> next(ShareTable held, VmList list, String publicationId) {
    throw new UnsupportedOperationException(held + " " + list + publicationId);
  }

  /**
   * Returns a VM that this VM should hand a slot to, if one holds at least two fewer. The giver
   * calls {@link ShareLedger#release} first, and then publishes {@link #handOver}.
   */
  public static Optional<VmId> receiverOfSurplus(ShareTable held, VmList list, VmId giver) {
    throw new UnsupportedOperationException(held + " " + list + giver);
  }

  /**
   * Returns the next table in which one slot of the giver belongs to the receiver. Only the giver
   * itself may publish it, after it stopped using the slot.
   */
  public static ShareTable handOver(
      ShareTable held, int slot, VmId receiver, String publicationId) {
    throw new UnsupportedOperationException(held + " " + slot + receiver + publicationId);
  }
}
