package org.oleanderstep.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects at random the peers for the next gossip round.
 *
 * <pre>{@code
 * for (String address : selector.nextRound(peerTable, settings.seedPeers(), now)) ...
 * }</pre>
 */
public final class GossipPeerSelector {

  /** Number of peers that a proxy exchanges digests with in each round. */
  public static final int PEERS_PER_ROUND = 2;

  private final RandomGenerator random;

  public GossipPeerSelector(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns addresses of at most {@link #PEERS_PER_ROUND} different peers.
   *
   * <p>Suspected peers are selected as well. Otherwise the two sides of a partition would not
   * exchange digests again after it has healed.
   *
   * @param seedPeers additional addresses, through which a process that has just started finds its
   *     peers
   */
  public List<String> selectPeers(PeerTable peers, List<String> seedPeers, long now) {
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
