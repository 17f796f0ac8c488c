package org.oleanderstep.core.membership;

import java.util.List;

/**
 * The message that two peers exchange in a gossip round.
 *
 * @param relayed last known states of other peers, which the sender relays
 */
public record PeerDigest(PeerState sender, List<PeerState> relayed) {

  /** Copies the list of states. */
  public PeerDigest {
    relayed = List.copyOf(relayed);
  }
}
