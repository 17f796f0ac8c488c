package org.oleanderstep.core.membership;

import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;

/** The part of this proxy's state that changes while the process runs. */
public record SelfState(
    long configurationGeneration,
    long sharesVersion,
    boolean ready,
    boolean leaving,
    Map<OrganisationId, Double> tokens) {

  /** State of a process that has just started. */
  public static final SelfState STARTING = new SelfState(0, 0, false, false, Map.of());

  /** Copies the map of tokens. */
  public SelfState {
    tokens = Map.copyOf(tokens);
  }
}
