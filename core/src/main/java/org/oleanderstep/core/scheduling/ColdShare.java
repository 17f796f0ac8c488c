package org.oleanderstep.core.scheduling;

import java.time.Duration;
import java.util.Set;
import org.oleanderstep.core.membership.RendezvousHash;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;

/**
 * The part of one VM in the requests that a cold member may get from all VMs together.
 *
 * <p>No VM asks another one: each derives its part from the number of VMs, so that the sum holds
 * also while VMs are cut off from the store. VMs learn of a new one at different times; the part is
 * therefore computed for a quarter more VMs than are known. Where less than one request a second is
 * left for each VM, they take turns.
 *
 * @param bound requests that a cold member may get in one second; 0 if there is no bound
 * @param self this VM
 * @param vms all known VMs, also those that have stopped; empty while they are not known yet, in
 *     which case the part of this VM is 0
 */
public record ColdShare(double bound, VmId self, Set<VmId> vms) {

  /** Sets no bound. */
  public static final ColdShare UNLIMITED = new ColdShare(0, new VmId("-"), Set.of());

  /** Duration of a turn; a cold member gets requests from several VMs within its cold time. */
  static final Duration TURN = Duration.ofSeconds(2);

  private static final double GROWTH = 1.25;

  /** The clocks of VMs differ, so that those of two turns may send within the same second. */
  private static final int OVERLAPPING_TURNS = 2;

  /** A VM that others do not know yet may take a place in its turn in addition to theirs. */
  private static final int RESERVED_PLACES = 1;

  /** Makes a defensive copy of the VMs. */
  public ColdShare {
    vms = Set.copyOf(vms);
  }

  /** Returns whether there is a bound. */
  public boolean isLimited() {
    return bound > 0;
  }

  /**
   * Returns the number of requests that this VM may send to a cold member in one second.
   *
   * @param wallClockMillis the present time, which decides whose turn it is
   */
  public int permits(MemberId member, long wallClockMillis) {
    if (vms.isEmpty()) {
      return 0;
    }
    double expected = Math.ceil(vms.size() * GROWTH);
    int each = (int) (bound / expected);
    return each > 0 ? each : permitsByTurn(member, wallClockMillis);
  }

  private int permitsByTurn(MemberId member, long wallClockMillis) {
    int places = Math.max(1, (int) (bound / (OVERLAPPING_TURNS * GROWTH)) - RESERVED_PLACES);
    String turn = member.name() + '/' + Math.floorDiv(wallClockMillis, TURN.toMillis());
    long own = RendezvousHash.weight(turn, self.name());
    long ahead =
        vms.stream()
            .filter(vm -> Long.compareUnsigned(RendezvousHash.weight(turn, vm.name()), own) > 0)
            .limit(places)
            .count();
    return ahead < places ? 1 : 0;
  }
}
