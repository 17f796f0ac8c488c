package org.oleanderstep.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the peers of the next round of exchanges.
 *
 * <pre>{@code
 * for (String address : planner.nextRound(peerTable, settings.seedPeers(), now)) ...
 * }</pre>
 */
public final class GossipPlanner {

  /** Peers that a proxy exchanges digests with in each round. */
  public static final int PEERS_PER_ROUND = 2;

  private final RandomGenerator random;

  /** Creates a planner. */
  public GossipPlanner(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns addresses of at most {@link #PEERS_PER_ROUND} different peers.
   *
   * <p>Suspect peers stay candidates: the two sides of a healed partition would otherwise never
   * exchange digests again.
   *
   * @param seedPeers addresses to try as well; they lead a process that knows no peer yet to others
   */
  public List<String> nextRound(PeerTable peers, List<String> seedPeers, long now) {
    Set<String> candidates = new LinkedHashSet<>();
    peers.peers(now).forEach(peer -> candidates.add(peer.peerAddress()));
    candidates.addAll(seedPeers);
    candidates.remove(peers.self().peerAddress());
    List<String> remaining = new ArrayList<>(candidates);
    List<String> chosen = new ArrayList<>();
    while (chosen.size() < PEERS_PER_ROUND && !remaining.isEmpty()) {
      chosen.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return chosen;
  }
}
