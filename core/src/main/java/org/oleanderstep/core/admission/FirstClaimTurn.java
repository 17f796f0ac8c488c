package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.membership.RendezvousHash;
import org.oleanderstep.core.model.VmId;

/**
 * Decides when a VM that has just started may change the claims, if no other VM has done so.
 *
 * <pre>{@code
 * if (turn.until(knownVms, readAt, now).compareTo(Duration.ZERO) <= 0) {
 *   // change the claims
 * }
 * }</pre>
 *
 * <p>After a start, a VM uses its claims only once the claims have changed. VMs that start together
 * would all change them at the same moment, and all but one of them in vain, so they take turns;
 * the change of the first one serves the others.
 *
 * @param self this VM
 * @param startedAt the time at which this VM started
 */
public record FirstClaimTurn(VmId self, ClockReading startedAt) {

  private static final String RANK_KEY = "claims";

  /** Time for the VMs of a new deployment to report themselves. */
  private static final Duration DISCOVERY_PERIOD = Duration.ofMillis(900);

  /** Delay for each VM that ranks before this one; a change is seen by the others within it. */
  private static final Duration RANK_DELAY = Duration.ofMillis(8);

  private static final Duration MAX_RANK_DELAY = Duration.ofMillis(400);

  /**
   * Returns the time until the turn of this VM; zero or negative if it has come.
   *
   * @param vms the known VMs
   * @param readAt the time at which the claims were first read; empty if there are none yet
   */
  public Duration until(Collection<VmId> vms, Optional<ClockReading> readAt, ClockReading now) {
    return readAt.isPresent()
        ? rankDelay(vms).minus(readAt.get().ageAt(now))
        : rankDelay(vms).plus(DISCOVERY_PERIOD).minus(startedAt.ageAt(now));
  }

  private Duration rankDelay(Collection<VmId> vms) {
    List<String> names = vms.stream().map(VmId::name).toList();
    Duration delay = RANK_DELAY.multipliedBy(RendezvousHash.rank(RANK_KEY, self.name(), names));
    return delay.compareTo(MAX_RANK_DELAY) < 0 ? delay : MAX_RANK_DELAY;
  }
}
