package org.oleanderstep.gateway.session;

import java.time.Duration;
import org.oleanderstep.core.admission.QueuedOperation;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.control.GatewayRoute;

/** An operation that needs a token of its organisation's rate before it may run. */
final class AdmissionTask implements StatementTask, QueuedOperation {

  /** Fraction of the route's target latency that an operation may wait for a token. */
  private static final double MAX_WAIT_FRACTION = 0.4;

  /** Shorter waits do not explain a late response and are not logged. */
  private static final Duration MIN_LOGGED_WAIT = Duration.ofMillis(10);

  private final SessionEnvironment environment;
  private final OrganisationId organisation;
  private final GatewayRoute route;
  private final String requestId;
  private final Runnable onAdmitted;
  private final Runnable onRefused;
  private final long arrivedAt;
  private final long waitDeadline;

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
    waitDeadline = arrivedAt + (long) (route.targetLatency().toNanos() * MAX_WAIT_FRACTION);
  }

  private long now() {
    return environment.clock().monotonicNanos();
  }

  @Override
  public OrganisationId organisation() {
    return organisation;
  }

  @Override
  public int priority() {
    return route.priority();
  }

  @Override
  public Duration remainingWait(long now) {
    return Duration.ofNanos(waitDeadline - now);
  }

  @Override
  public void admit() {
    Duration waited = Duration.ofNanos(now() - arrivedAt);
    if (waited.compareTo(MIN_LOGGED_WAIT) > 0) {
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

  @Override
  public void refuse() {
    onRefused.run();
  }

  @Override
  public void start() {
    environment.admission().submit(this);
  }

  @Override
  public void tick(long now) {
    // The queue checks the wait limit.
  }

  @Override
  public void expire() {
    environment.admission().cancel(this);
    refuse();
  }

  @Override
  public void abandon() {
    environment.admission().cancel(this);
  }
}
