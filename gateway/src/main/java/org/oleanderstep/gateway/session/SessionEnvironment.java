package org.oleanderstep.gateway.session;

import java.util.Optional;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.control.GatewayConfiguration;
import org.oleanderstep.gateway.log.DecisionLog;
import org.oleanderstep.gateway.target.ServiceTraffic;

/** What sessions need of the process that serves them. Belongs to the traffic thread. */
public interface SessionEnvironment {

  /** Returns the configuration in force. */
  GatewayConfiguration configuration();

  /** Returns the operations that wait for a token of their organisation's rate. */
  AdmissionQueues admission();

  /** Describes what an organisation may use of its rate on this VM. */
  String describeRate(OrganisationId organisation);

  /** Returns the traffic of a service; empty if no such service is declared. */
  Optional<ServiceTraffic> service(String name);

  /** Returns the clocks. */
  SuspendAwareClock clock();

  /** Returns the log of decisions. */
  DecisionLog log();

  /** Returns the counters. */
  SessionMetrics metrics();
}
