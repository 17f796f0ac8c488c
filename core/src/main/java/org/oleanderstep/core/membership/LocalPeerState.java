package org.oleanderstep.core.membership;

import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;

/** The part of this proxy's state that changes while the process runs. */
public record LocalPeerState(
    long configurationGeneration,
    long sharesVersion,
    boolean ready,
    boolean leaving,
    Map<OrganisationId, Double> tokens) {

  /** State of a process that has just started. */
  public static final LocalPeerState INITIAL = new LocalPeerState(0, 0, false, false, Map.of());

  /** Copies the map of tokens. */
  public LocalPeerState {
    tokens = Map.copyOf(tokens);
  }
}
