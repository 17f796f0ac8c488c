package org.oleanderstep.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Who may use a service, and under which rules.
 *
 * @param organisations organisations that may use the route; empty when it is open
 * @param open whether callers without a key may use the route
 * @param requireRequestId whether a call that may change data needs a request id
 * @param readRule name of a read rule; empty means that reads are current for their session only
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
