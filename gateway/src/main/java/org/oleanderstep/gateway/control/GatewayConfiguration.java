package org.oleanderstep.gateway.control;

import java.time.Duration;
import java.util.Map;
import org.oleanderstep.core.admission.RateLimiter;
import org.oleanderstep.core.model.OrganisationId;

/**
 * One version of the declared configuration.
 *
 * @param version increases with each publication
 * @param routes by the database name that callers connect to
 * @param organisations by key
 * @param limits rate and burst by organisation
 * @param connectionLimits by service, the connections that a member accepts from all VMs together
 * @param syncReplicas by service, the replicas that have received a commit when it is acknowledged
 * @param transactionIdle time after which an idle transaction may be rolled back
 */
public record GatewayConfiguration(
    long version,
    Map<String, GatewayRoute> routes,
    Map<String, OrganisationId> organisations,
    Map<OrganisationId, RateLimiter.Limit> limits,
    Map<String, Integer> connectionLimits,
    Map<String, Integer> syncReplicas,
    Duration transactionIdle) {

  /** Makes defensive copies of the maps. */
  public GatewayConfiguration {
    routes = Map.copyOf(routes);
    organisations = Map.copyOf(organisations);
    limits = Map.copyOf(limits);
    connectionLimits = Map.copyOf(connectionLimits);
    syncReplicas = Map.copyOf(syncReplicas);
  }
}
