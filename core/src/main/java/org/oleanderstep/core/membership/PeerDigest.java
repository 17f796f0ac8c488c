package org.oleanderstep.core.membership;

import java.util.List;

/**
 * The message that two peers exchange.
 *
 * @param known states of other peers as last heard by the sender
 */
public record PeerDigest(PeerState sender, List<PeerState> known) {

  /** Copies the list of states. */
  public PeerDigest {
    known = List.copyOf(known);
  }
}
