package org.oleanderstep.core.configuration;

import org.oleanderstep.core.model.OrganisationId;

/**
 * A caller organisation with its limits over all VMs.
 *
 * <p>Declared objects hold what the operator wrote, also when it is wrong; {@link
 * ConfigurationChecker} reports what is wrong with it.
 *
 * @param ratePerSecond statements per second; may be a fraction
 * @param burst statements that may run at once above the rate
 */
public record Organisation(String name, double ratePerSecond, double burst) {

  /** Returns the typed name. */
  public OrganisationId id() {
    return new OrganisationId(name);
  }
}
