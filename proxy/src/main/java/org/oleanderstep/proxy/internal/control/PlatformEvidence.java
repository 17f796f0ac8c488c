package org.oleanderstep.proxy.internal.control;

import java.time.Duration;
import org.oleanderstep.core.membership.PeerTable;
import org.oleanderstep.proxy.internal.platform.PlatformClient;

/**
 * Decides whether an answer of the platform shows the newest state.
 *
 * <p>A platform that has returned to an older copy shows an older state until a proxy writes the
 * newer one back. A process that starts meanwhile must not rely on it before it has heard its
 * peers. Not thread-safe; call only from the control thread.
 */
final class PlatformEvidence {

  /** Time for a reply of a peer; without any peer the platform's answer stands. */
  private static final Duration PEER_WAIT = Duration.ofMillis(500);

  private final PlatformClient platform;
  private final PeerTable peers;
  private final ControlLoop loop;
  private final long startedAt;

  PlatformEvidence(PlatformClient platform, PeerTable peers, ControlLoop loop) {
    this.platform = platform;
    this.peers = peers;
    this.loop = loop;
    startedAt = loop.nanoTime();
  }

  /** Returns whether the platform's configuration may be taken for the newest one. */
  boolean showsNewestConfiguration() {
    return isNeverRestored()
        || (hasHeardPeers() && peers.peerWithNewestConfiguration(loop.nanoTime()).isEmpty());
  }

  /** Returns whether the platform's share table may be taken for the newest one. */
  boolean showsNewestShares() {
    return isNeverRestored()
        || (hasHeardPeers() && peers.peerWithNewestShares(loop.nanoTime()).isEmpty());
  }

  private boolean isNeverRestored() {
    return platform.era() == 0;
  }

  /** Returns whether a peer has replied, or none has within the time for it. */
  private boolean hasHeardPeers() {
    long now = loop.nanoTime();
    return !peers.livePeers(now).isEmpty() || now - startedAt >= PEER_WAIT.toNanos();
  }
}
