package org.oleanderstep.gateway.control;

import java.time.Duration;
import java.util.Map;
import org.oleanderstep.core.admission.RateLimiter;
import org.oleanderstep.core.model.OrganisationId;

/**
 * One version of the declared configuration.
 *
 * @param version rises with each publication
 * @param routes by the name that callers connect to
 * @param organisations by key
 * @param limits rate and burst of each organisation
 * @param connectionLimits connections that a member accepts from all VMs, by service
 * @param transactionIdle time after which an idle transaction may be ended
 */
public record GatewayConfiguration(
    long version,
    Map<String, GatewayRoute> routes,
    Map<String, OrganisationId> organisations,
    Map<OrganisationId, RateLimiter.Limit> limits,
    Map<String, Integer> connectionLimits,
    Duration transactionIdle) {

  /** Copies the maps. */
  public GatewayConfiguration {
    routes = Map.copyOf(routes);
    organisations = Map.copyOf(organisations);
    limits = Map.copyOf(limits);
    connectionLimits = Map.copyOf(connectionLimits);
  }
}
