package org.oleanderstep.core.configuration;

import java.util.List;

/**
 * All declared objects as the operator wrote them, not yet validated.
 *
 * <p>{@link ConfigurationChecker} validates them before they are published.
 */
public record Declarations(
    List<Organisation> organisations,
    List<Key> keys,
    List<Service> services,
    List<Route> routes,
    List<ReadRule> readRules,
    List<Objective> objectives) {

  /** Declarations without any object. */
  public static final Declarations EMPTY =
      new Declarations(List.of(), List.of(), List.of(), List.of(), List.of(), List.of());

  /** Copies the lists. */
  public Declarations {
    organisations = List.copyOf(organisations);
    keys = List.copyOf(keys);
    services = List.copyOf(services);
    routes = List.copyOf(routes);
    readRules = List.copyOf(readRules);
    objectives = List.copyOf(objectives);
  }
}
