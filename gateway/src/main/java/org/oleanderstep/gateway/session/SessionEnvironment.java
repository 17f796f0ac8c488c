package org.oleanderstep.gateway.session;

import java.util.Optional;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.control.GatewayConfiguration;
import org.oleanderstep.gateway.log.DecisionLog;
import org.oleanderstep.gateway.target.ServicePool;

/**
 * The services that the gateway provides to its sessions.
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
public interface SessionEnvironment {

  /** Returns the current configuration. */
  GatewayConfiguration configuration();

  /** Returns the queues of operations that wait for a token of their organisation's rate. */
  AdmissionQueues admission();

  /** Describes the share of an organisation's rate that this VM may use. */
  String describeRate(OrganisationId organisation);

  /** Returns the pool of a service; empty if no such service is declared. */
  Optional<ServicePool> service(String name);

  /** Returns the clocks. */
  SuspendAwareClock clock();

  /** Returns the decision log. */
  DecisionLog log();

  /** Returns the metrics of statements. */
  SessionMetrics metrics();
}
