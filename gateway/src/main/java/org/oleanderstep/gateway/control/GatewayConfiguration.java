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
 * @param coldRates by service, the requests per second that a cold member takes well; a service
 *     without a bound is absent
 * @param transactionIdle time after which an idle transaction may be rolled back
 */
public record GatewayConfiguration(
    long version,
    Map<String, GatewayRoute> routes,
    Map<String, OrganisationId> organisations,
    Map<OrganisationId, RateLimiter.Limit> limits,
    Map<String, Integer> connectionLimits,
    Map<String, Integer> syncReplicas,
    Map<String, Double> coldRates,
    Duration transactionIdle) {

  /** Creates a configuration without bounds for cold members. */
  public GatewayConfiguration(
      long version,
      Map<String, GatewayRoute> routes,
      Map<String, OrganisationId> organisations,
      Map<OrganisationId, RateLimiter.Limit> limits,
      Map<String, Integer> connectionLimits,
      Map<String, Integer> syncReplicas,
      Duration transactionIdle) {
    this(
        version,
        routes,
        organisations,
        limits,
        connectionLimits,
        syncReplicas,
        Map.of(),
        transactionIdle);
  }

  /** Makes defensive copies of the maps. */
  public GatewayConfiguration {
    routes = Map.copyOf(routes);
    organisations = Map.copyOf(organisations);
    limits = Map.copyOf(limits);
    connectionLimits = Map.copyOf(connectionLimits);
    syncReplicas = Map.copyOf(syncReplicas);
    coldRates = Map.copyOf(coldRates);
  }
}
