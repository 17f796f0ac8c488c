package org.oleanderstep.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Defines which callers may use a service, and which rules apply to them.
 *
 * @param organisations organisations that may use the route; empty if it is open
 * @param open whether callers without a key may use the route
 * @param requireRequestId whether a call that may change data needs a request id
 * @param readRule name of a read rule; if empty, reads see at least the writes of their own session
 */
public record Route(
    String name,
    String service,
    List<String> organisations,
    boolean open,
    boolean requireRequestId,
    Optional<String> readRule) {

  /** Copies the list of organisations. */
  public Route {
    organisations = List.copyOf(organisations);
  }
}
