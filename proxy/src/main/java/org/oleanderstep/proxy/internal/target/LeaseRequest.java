package org.oleanderstep.proxy.internal.target;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.position.ReadRequirement;
import org.oleanderstep.core.routing.ReadRule;
import org.oleanderstep.proxy.internal.traffic.TrafficMetrics;

/**
 * A request for a connection to a member that may run a statement or transaction.
 *
 * <p>A request is in at most one queue at a time; its mutable fields are changed only by the thread
 * that has just taken it out of a queue or is about to add it to one.
 */
public final class LeaseRequest {

  private final OrganisationId organisation;
  private final boolean rateLimited;
  private final Optional<ReadRequirement> requirement;
  private final ReadRule rule;
  private final long deadlineNanos;
  private final BooleanSupplier callerGone;
  private final long arrivalNanos;
  private final CompletableFuture<Lease> lease = new CompletableFuture<>();
  private volatile boolean admitted;
  private volatile boolean waited;
  private volatile long term;
  private volatile LogPosition requiredPosition = LogPosition.START;
  private volatile LogPosition sessionPosition = LogPosition.START;
  private volatile String incarnation = "";
  private volatile TrafficMetrics.WaitReason waitReason = TrafficMetrics.WaitReason.QUEUE;

  private LeaseRequest(
      OrganisationId organisation,
      boolean rateLimited,
      Optional<ReadRequirement> requirement,
      ReadRule rule,
      long deadlineNanos,
      BooleanSupplier callerGone,
      long arrivalNanos) {
    this.organisation = organisation;
    this.rateLimited = rateLimited;
    this.requirement = requirement;
    this.rule = rule;
    this.deadlineNanos = deadlineNanos;
    this.callerGone = callerGone;
    this.arrivalNanos = arrivalNanos;
  }

  /** Returns a request for a member that may serve a read. */
  public static LeaseRequest read(
      OrganisationId organisation,
      boolean rateLimited,
      ReadRequirement requirement,
      ReadRule rule,
      long deadlineNanos,
      BooleanSupplier callerGone) {
    return new LeaseRequest(
        organisation,
        rateLimited,
        Optional.of(requirement),
        rule,
        deadlineNanos,
        callerGone,
        System.nanoTime());
  }

  /**
   * Returns a request for another attempt, which keeps the arrival time and the rate token, so that
   * a retry costs the organisation no second token.
   */
  LeaseRequest forRetry() {
    LeaseRequest next =
        new LeaseRequest(
            organisation, rateLimited, requirement, rule, deadlineNanos, callerGone, arrivalNanos);
    next.sessionPosition = sessionPosition;
    next.admitted = admitted;
    next.waited = true;
    next.waitReason = waitReason;
    return next;
  }

  /**
   * Returns a request for the primary.
   *
   * @param rateLimited whether the statement takes a token of the organisation's rate
   * @param sessionPosition position that the session has seen; {@link LogPosition#START} if none
   */
  public static LeaseRequest write(
      OrganisationId organisation,
      boolean rateLimited,
      LogPosition sessionPosition,
      long deadlineNanos,
      BooleanSupplier callerGone) {
    LeaseRequest request =
        new LeaseRequest(
            organisation,
            rateLimited,
            Optional.empty(),
            ReadRule.SESSION,
            deadlineNanos,
            callerGone,
            System.nanoTime());
    request.sessionPosition = sessionPosition;
    return request;
  }

  /** Returns the position that the session of a write has seen. */
  LogPosition sessionPosition() {
    return sessionPosition;
  }

  OrganisationId organisation() {
    return organisation;
  }

  boolean rateLimited() {
    return rateLimited;
  }

  boolean isWrite() {
    return requirement.isEmpty();
  }

  Optional<ReadRequirement> requirement() {
    return requirement;
  }

  ReadRule rule() {
    return rule;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  long arrivalNanos() {
    return arrivalNanos;
  }

  CompletableFuture<Lease> lease() {
    return lease;
  }

  /**
   * Returns whether the request was completed or its caller has disconnected; nothing is sent for
   * it then.
   */
  boolean isAbandoned() {
    return lease.isDone() || callerGone.getAsBoolean();
  }

  boolean isAdmitted() {
    return admitted;
  }

  void setAdmitted() {
    admitted = true;
  }

  boolean hasWaited() {
    return waited;
  }

  void setWaited() {
    waited = true;
  }

  long term() {
    return term;
  }

  void setTerm(long value) {
    term = value;
  }

  /** Returns the position that the chosen member must have applied when it responds. */
  LogPosition requiredPosition() {
    return requiredPosition;
  }

  /** Returns the incarnation that the member had when it was chosen; empty if unknown. */
  String incarnation() {
    return incarnation;
  }

  void setRequiredState(LogPosition position, String requiredIncarnation) {
    requiredPosition = position;
    incarnation = requiredIncarnation;
  }

  TrafficMetrics.WaitReason waitReason() {
    return waitReason;
  }

  void setWaitReason(TrafficMetrics.WaitReason value) {
    waitReason = value;
  }
}
