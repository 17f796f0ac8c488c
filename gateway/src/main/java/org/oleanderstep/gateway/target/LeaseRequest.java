package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.scheduling.QueuedRequest;

/**
 * A request of a statement or transaction for a connection.
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
public final class LeaseRequest implements QueuedRequest {

  /** Several times the usual time; a lost packet or an overloaded member delays a connection. */
  private static final Duration MAX_CONNECTION_WAIT = Duration.ofMillis(150);

  /**
   * The requirements on the member.
   *
   * @param maxStaleness maximum age of the state that may be read; empty if only the primary may
   *     serve the request
   * @param sessionPosition the session's last commit, which the member's log must include
   */
  public record Requirement(
      Optional<Duration> maxStaleness, Supplier<LogPosition> sessionPosition) {

    /** Only the primary may serve the request. */
    public static final Requirement PRIMARY =
        new Requirement(Optional.empty(), () -> LogPosition.START);
  }

  private final OrganisationId organisation;
  private final int priority;
  private final Requirement requirement;
  private final long enqueuedAt;
  private final long expiresAt;
  private final Consumer<Lease> onGranted;
  private final Consumer<String> onRefused;
  private final Set<MemberPool> avoidedPools = new HashSet<>();
  private long notBefore;
  private long targetAt;
  private Duration target;
  private Optional<MemberPool> awaitedPool = Optional.empty();
  private long awaitedSince;
  private boolean awaitedTooLong;

  /**
   * Creates a request.
   *
   * @param expiresAt monotonic time, in nanoseconds, at which the request is refused
   */
  public LeaseRequest(
      OrganisationId organisation,
      int priority,
      Requirement requirement,
      long enqueuedAt,
      long expiresAt,
      Consumer<Lease> onGranted,
      Consumer<String> onRefused) {
    this.organisation = organisation;
    this.priority = priority;
    this.requirement = requirement;
    this.enqueuedAt = enqueuedAt;
    this.expiresAt = expiresAt;
    targetAt = expiresAt;
    target = Duration.ofNanos(expiresAt - enqueuedAt);
    this.onGranted = onGranted;
    this.onRefused = onRefused;
    notBefore = enqueuedAt;
  }

  /**
   * Sets when the caller expects the answer; without it, that is when the request expires.
   *
   * @param arrivedAt monotonic time, in nanoseconds, at which the operation has arrived
   * @param latency the target latency of its route
   */
  public LeaseRequest withTarget(long arrivedAt, Duration latency) {
    targetAt = arrivedAt + latency.toNanos();
    target = latency;
    return this;
  }

  @Override
  public OrganisationId organisation() {
    return organisation;
  }

  @Override
  public int priority() {
    return priority;
  }

  WorkClass workClass() {
    return new WorkClass(priority, requirement.maxStaleness());
  }

  @Override
  public boolean needsPrimary() {
    return requirement.maxStaleness().isEmpty();
  }

  @Override
  public long targetAt() {
    return targetAt;
  }

  @Override
  public long targetNanos() {
    return target.toNanos();
  }

  @Override
  public long expiresAt() {
    return expiresAt;
  }

  long enqueuedAt() {
    return enqueuedAt;
  }

  Requirement requirement() {
    return requirement;
  }

  boolean isExpired(long now) {
    return now - expiresAt >= 0;
  }

  boolean isDue(long now) {
    return now - notBefore >= 0;
  }

  /** Prefers other members from now on, and delays the next attempt until the given time. */
  public void avoid(MemberPool pool, long until) {
    avoidedPools.add(pool);
    notBefore = until;
  }

  boolean avoids(MemberPool pool) {
    return avoidedPools.contains(pool);
  }

  /** Records that a pool opens a connection for the organisation of this request. */
  void awaitConnectionOf(MemberPool pool, long now) {
    if (awaitedPool.filter(awaited -> awaited == pool).isEmpty()) {
      awaitedPool = Optional.of(pool);
      awaitedSince = now;
      awaitedTooLong = false;
    }
  }

  /** Returns how long this request has awaited a new connection of a pool; zero if it hasn't. */
  long awaitedNanos(MemberPool pool, long now) {
    return awaitedPool.filter(awaited -> awaited == pool).isPresent() ? now - awaitedSince : 0;
  }

  /** Prefers other members if the recorded pool takes too long to open a connection. */
  void avoidSlowConnection(long now) {
    if (isAwaitedPoolConnecting() && now - awaitedSince > MAX_CONNECTION_WAIT.toNanos()) {
      awaitedTooLong = true;
      avoidedPools.add(awaitedPool.get());
    }
  }

  /** Returns whether the recorded pool is opening a connection that is worth waiting for. */
  boolean awaitsConnection() {
    return isAwaitedPoolConnecting() && !awaitedTooLong;
  }

  private boolean isAwaitedPoolConnecting() {
    return awaitedPool.filter(pool -> pool.isConnecting(organisation)).isPresent();
  }

  void grant(Lease lease) {
    onGranted.accept(lease);
  }

  void refuse(String reason) {
    onRefused.accept(reason);
  }
}
