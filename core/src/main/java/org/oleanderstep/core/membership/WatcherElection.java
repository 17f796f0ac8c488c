package org.oleanderstep.core.membership;

/**
 * Decides which VMs of a failure domain hold a watch at the platform.
 *
 * <p>Two VMs for each failure domain suffice, and keep the load of the platform independent of the
 * number of VMs.
 *
 * <pre>{@code
 * if (WatcherElection.isWatcher(peerTable, now)) watch();
 * }</pre>
 */
public final class WatcherElection {

  /** VMs for each failure domain that watch the platform. */
  public static final int WATCHERS_PER_DOMAIN = 2;

  private WatcherElection() {}

  /**
   * Returns whether this process is among the first by rank of its failure domain.
   *
   * <p>Live peers that leave are not counted, so that a successor watches before they stop.
   */
  public static boolean isWatcher(PeerTable peers, long now) {
    PeerIdentity self = peers.self();
    long own = RendezvousHash.weight(self.failureDomain(), self.vm().name());
    long ahead =
        peers.live(now).stream()
            .filter(peer -> peer.failureDomain().equals(self.failureDomain()) && !peer.leaving())
            .map(peer -> RendezvousHash.weight(self.failureDomain(), peer.vm().name()))
            .filter(weight -> Long.compareUnsigned(weight, own) > 0)
            .count();
    return ahead < WATCHERS_PER_DOMAIN;
  }
}
