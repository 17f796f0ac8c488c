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
 * Asks for a connection to the member that may run a statement.
 *
 * <p>Fields that change are guarded by the queue that holds the request; it is in one queue at a
 * time.
 */
public final class LeaseRequest {

  private final OrganisationId organisation;
  private final boolean limited;
  private final Optional<ReadRequirement> need;
  private final ReadRule rule;
  private final long deadlineNanos;
  private final BooleanSupplier callerGone;
  private final long arrivedNanos;
  private final CompletableFuture<Lease> lease = new CompletableFuture<>();
  private volatile boolean admitted;
  private volatile boolean waited;
  private volatile long term;
  private volatile LogPosition atLeast = LogPosition.START;
  private volatile LogPosition floor = LogPosition.START;
  private volatile String incarnation = "";
  private volatile TrafficMetrics.Wait wait = TrafficMetrics.Wait.QUEUE;

  private LeaseRequest(
      OrganisationId organisation,
      boolean limited,
      Optional<ReadRequirement> need,
      ReadRule rule,
      long deadlineNanos,
      BooleanSupplier callerGone,
      long arrivedNanos) {
    this.organisation = organisation;
    this.limited = limited;
    this.need = need;
    this.rule = rule;
    this.deadlineNanos = deadlineNanos;
    this.callerGone = callerGone;
    this.arrivedNanos = arrivedNanos;
  }

  /** Returns a request for a member that may serve a read. */
  public static LeaseRequest read(
      OrganisationId organisation,
      boolean limited,
      ReadRequirement need,
      ReadRule rule,
      long deadlineNanos,
      BooleanSupplier callerGone) {
    return new LeaseRequest(
        organisation,
        limited,
        Optional.of(need),
        rule,
        deadlineNanos,
        callerGone,
        System.nanoTime());
  }

  /** Returns a request for another attempt; it keeps its arrival and its token of the rate. */
  LeaseRequest again() {
    LeaseRequest next =
        new LeaseRequest(
            organisation, limited, need, rule, deadlineNanos, callerGone, arrivedNanos);
    next.floor = floor;
    next.admitted = admitted;
    next.waited = true;
    next.wait = wait;
    return next;
  }

  /**
   * Returns a request for the primary.
   *
   * @param limited whether the organisation's rate counts
   * @param floor position that the session has seen; {@link LogPosition#START} if none
   */
  public static LeaseRequest write(
      OrganisationId organisation,
      boolean limited,
      LogPosition floor,
      long deadlineNanos,
      BooleanSupplier callerGone) {
    LeaseRequest request =
        new LeaseRequest(
            organisation,
            limited,
            Optional.empty(),
            ReadRule.SESSION,
            deadlineNanos,
            callerGone,
            System.nanoTime());
    request.floor = floor;
    return request;
  }

  /** Returns the position that the session of a write has seen. */
  LogPosition floor() {
    return floor;
  }

  OrganisationId organisation() {
    return organisation;
  }

  boolean limited() {
    return limited;
  }

  boolean writes() {
    return need.isEmpty();
  }

  Optional<ReadRequirement> need() {
    return need;
  }

  ReadRule rule() {
    return rule;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  long arrivedNanos() {
    return arrivedNanos;
  }

  CompletableFuture<Lease> lease() {
    return lease;
  }

  /** Returns whether nobody waits for the answer any more, so that nothing need be sent. */
  boolean isAbandoned() {
    return lease.isDone() || callerGone.getAsBoolean();
  }

  boolean admitted() {
    return admitted;
  }

  void setAdmitted() {
    admitted = true;
  }

  boolean waited() {
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

  /** Returns the position that the chosen member must have when it answers. */
  LogPosition atLeast() {
    return atLeast;
  }

  /** Returns the incarnation that the member was chosen by; empty if it was not known. */
  String incarnation() {
    return incarnation;
  }

  void setChoice(LogPosition position, String ofIncarnation) {
    atLeast = position;
    incarnation = ofIncarnation;
  }

  TrafficMetrics.Wait waitKind() {
    return wait;
  }

  void setWaitKind(TrafficMetrics.Wait value) {
    wait = value;
  }
}
