package org.oleanderstep.core.membership;

/**
 * Decides which VMs of a failure domain watch the platform for changes.
 *
 * <p>Two VMs for each failure domain keep the load on the platform independent of the number of
 * VMs, and leave one watcher if the other fails.
 *
 * <pre>{@code
 * if (WatcherElection.isWatcher(peerTable, now)) watch();
 * }</pre>
 */
public final class WatcherElection {

  /** Number of VMs in each failure domain that watch the platform. */
  public static final int WATCHERS_PER_DOMAIN = 2;

  private WatcherElection() {}

  /**
   * Returns whether this process is one of the watchers of its failure domain.
   *
   * <p>Leaving peers are not counted, so that their successors start to watch before they stop.
   */
  public static boolean isWatcher(PeerTable peers, long now) {
    PeerIdentity self = peers.self();
    long ownWeight = RendezvousHash.weight(self.failureDomain(), self.vm().name());
    long higherRanked =
        peers.livePeers(now).stream()
            .filter(peer -> peer.failureDomain().equals(self.failureDomain()) && !peer.leaving())
            .map(peer -> RendezvousHash.weight(self.failureDomain(), peer.vm().name()))
            .filter(weight -> Long.compareUnsigned(weight, ownWeight) > 0)
            .count();
    return higherRanked < WATCHERS_PER_DOMAIN;
  }
}
