package org.oleanderstep.gateway.session;

import java.time.Duration;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.control.GatewayRoute;

/** One operation that needs a token of its organisation's rate before it may run. */
final class AdmissionTask implements StatementTask {

  /** Part of the route's target latency that may be spent here. */
  private static final double WAITING_PART = 0.4;

  private final SessionEnvironment environment;
  private final OrganisationId organisation;
  private final GatewayRoute route;
  private final Runnable onAdmitted;
  private final Runnable onRefused;
  private final long giveUpAt;

  AdmissionTask(
      SessionEnvironment environment,
      OrganisationId organisation,
      GatewayRoute route,
      Runnable onAdmitted,
      Runnable onRefused) {
    this.environment = environment;
    this.organisation = organisation;
    this.route = route;
    this.onAdmitted = onAdmitted;
    this.onRefused = onRefused;
    long now = environment.clock().read().steadyNanos();
    giveUpAt = now + (long) (route.targetLatency().toNanos() * WAITING_PART);
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
