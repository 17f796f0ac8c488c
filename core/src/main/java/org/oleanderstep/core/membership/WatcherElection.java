package org.oleanderstep.core.membership;

/**
 * Decides which VMs of a failure domain hold a watch at the platform.
 *
 * <p>Two VMs for each failure domain suffice, and keep the load of the platform independent of the
 * number of VMs.
 */
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class WatcherElection {

  /** VMs for each failure domain that watch the platform. */
  public static final int WATCHERS_PER_DOMAIN = 2;

  private WatcherElection() {}

  /** Returns whether this process is among the first by rank of its failure domain. */
  public static boolean isWatcher(PeerTable peers, long now) {
    throw new UnsupportedOperationException(peers + " " + now);
  }
}
