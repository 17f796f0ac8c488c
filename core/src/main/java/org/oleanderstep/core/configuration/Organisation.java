package org.oleanderstep.core.configuration;

import org.oleanderstep.core.model.OrganisationId;

/**
 * An organisation of callers with its limits across all VMs.
 *
 * <p>Declared objects may hold invalid values, as the operator wrote them; {@link
 * ConfigurationChecker} reports these.
 *
 * @param ratePerSecond sustained rate in statements per second; may be a fraction
 * @param burst number of statements that may exceed the rate at once
 */
public record Organisation(String name, double ratePerSecond, double burst) {

  /** Returns the name as an id. */
  public OrganisationId id() {
    return new OrganisationId(name);
  }
}
