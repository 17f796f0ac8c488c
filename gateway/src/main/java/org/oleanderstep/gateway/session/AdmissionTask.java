package org.oleanderstep.gateway.session;

import java.time.Duration;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.control.GatewayRoute;

/** One operation that needs a token of its organisation's rate before it may run. */
final class AdmissionTask implements StatementTask {

  /** Part of the route's target latency that may be spent here. */
  private static final double WAITING_PART = 0.4;

  /** A shorter wait for a token explains no late answer. */
  private static final Duration WORTH_A_LINE = Duration.ofMillis(10);

  private final SessionEnvironment environment;
  private final OrganisationId organisation;
  private final GatewayRoute route;
  private final String requestId;
  private final Runnable onAdmitted;
  private final Runnable onRefused;
  private final long arrivedAt;
  private final long giveUpAt;

  AdmissionTask(
      SessionEnvironment environment,
      OrganisationId organisation,
      GatewayRoute route,
      String requestId,
      Runnable onAdmitted,
      Runnable onRefused) {
    this.environment = environment;
    this.organisation = organisation;
    this.route = route;
    this.requestId = requestId;
    this.onAdmitted = onAdmitted;
    this.onRefused = onRefused;
    arrivedAt = now();
    giveUpAt = arrivedAt + (long) (route.targetLatency().toNanos() * WAITING_PART);
  }

  private long now() {
    return environment.clock().read().monotonicNanos();
  }

  OrganisationId organisation() {
    return organisation;
  }

  int priority() {
    return route.priority();
  }

  /** Returns how long it may go on waiting; negative if it has waited for too long. */
  Duration patience(long now) {
    return Duration.ofNanos(giveUpAt - now);
  }

  void admit() {
    Duration waited = Duration.ofNanos(now() - arrivedAt);
    if (waited.compareTo(WORTH_A_LINE) > 0) {
      environment
          .log()
          .request("admitted_late")
          .with("request", requestId)
          .with("organisation", organisation.name())
          .with("waited_ms", waited.toMillis())
          .with("part", environment.describeRate(organisation))
          .write();
    }
    onAdmitted.run();
  }

  void refuse() {
    onRefused.run();
  }

  @Override
  public void start() {
    environment.admission().submit(this);
  }

  @Override
  public void tick(long now) {
    // The queue ends the wait.
  }

  @Override
  public void abandon() {
    environment.admission().cancel(this);
  }
}
