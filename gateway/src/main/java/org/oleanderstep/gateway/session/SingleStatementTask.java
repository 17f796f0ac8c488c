package org.oleanderstep.gateway.session;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.GatewayRoute;
import org.oleanderstep.gateway.target.Lease;
import org.oleanderstep.gateway.target.LeaseRequest;
import org.oleanderstep.gateway.target.MemberPool;
import org.oleanderstep.gateway.target.PooledConnection;
import org.oleanderstep.gateway.target.ReplyHandler;
import org.oleanderstep.gateway.target.ServicePool;
import org.oleanderstep.gateway.target.ServiceRetries;
import org.oleanderstep.gateway.target.TargetCommand;
import org.oleanderstep.gateway.target.TargetReply;

/**
 * Serves a statement outside of a transaction: waits for a connection, executes the statement, and
 * retries it on another member while it is certain to have had no effect and time is left.
 *
 * <p>A read that only the primary may serve is executed inside a read-write transaction of its own:
 * a member that is no longer the primary answers a plain read but refuses one inside a transaction
 * that may write.
 */
final class SingleStatementTask implements StatementTask {

  /** Well below the part of the maximum staleness that is reserved for delivery. */
  private static final Duration MAX_SYNCHRONIZATION = Duration.ofMillis(100);

  private static final String NO_ANSWER = "the member did not answer in time";

  private final SessionEnvironment environment;
  private final ServicePool service;
  private final GatewayRoute route;
  private final OrganisationId organisation;
  private final ResolvedStatement statement;
  private final LeaseRequest.Requirement requirement;
  private final BiConsumer<Answer, Optional<LogPosition>> onAnswer;
  private final long arrivedAt;
  private final long deadline;
  private final OperationTime time;
  private LeaseRequest request;
  private PooledConnection connection;
  private Optional<Lease> lastLease = Optional.empty();
  private long grantedAt;
  private int attempts;
  private String lastFailure = "";
  private boolean sent;
  private boolean done;

  /**
   * Creates the task.
   *
   * @param tokenWaitNanos how long the operation waited for a token of its organisation's rate
   * @param onAnswer receives the answer, and the member's position if the statement was executed
   */
  SingleStatementTask(
      SessionEnvironment environment,
      ServicePool service,
      GatewayRoute route,
      OrganisationId organisation,
      ResolvedStatement statement,
      LeaseRequest.Requirement requirement,
      long tokenWaitNanos,
      BiConsumer<Answer, Optional<LogPosition>> onAnswer) {
    this.environment = environment;
    this.service = service;
    this.route = route;
    this.organisation = organisation;
    this.statement = statement;
    this.requirement = requirement;
    this.onAnswer = onAnswer;
    arrivedAt = now();
    deadline = arrivedAt + route.timeout().toNanos();
    time = new OperationTime(tokenWaitNanos, arrivedAt);
  }

  private long now() {
    return environment.clock().monotonicNanos();
  }

  @Override
  public void start() {
    service.retries().ifPresent(ServiceRetries::onFirstAttempt);
    enqueue();
  }

  private void enqueue() {
    request = newRequest();
    service.submit(request);
  }

  private LeaseRequest newRequest() {
    time.enter(OperationTime.Part.CONNECTION, now());
    return new LeaseRequest(
            organisation,
            route.priority(),
            requirement,
            now(),
            QueueLimit.expiresAt(arrivedAt, route.timeout(), attempts),
            this::onGranted,
            this::onRefused)
        .withTarget(arrivedAt - time.in(OperationTime.Part.TOKEN).toNanos(), route.targetLatency());
  }

  private void onRefused(String reason) {
    returnUnusedToken();
    String text = lastFailure.isEmpty() ? reason : reason + "; " + lastFailure;
    finish(new Answer.Failure(FailureCode.OVERLOADED, text), Optional.empty());
  }

  private void returnUnusedToken() {
    if (attempts == 0) {
      environment.admission().returnToken(organisation);
    }
  }

  private void onGranted(Lease lease) {
    connection = lease.connection();
    lastLease = Optional.of(lease);
    attempts++;
    grantedAt = now();
    time.enter(OperationTime.Part.SYNCHRONIZATION, grantedAt);
    statement.synchronize(lease.connection(), failure -> onSynchronized(lease, failure));
    lease.connection().flush();
  }

  private void onSynchronized(Lease lease, Optional<Answer.Failure> failure) {
    if (done) {
      service.release(lease.connection());
    } else if (failure.isPresent()) {
      service.release(lease.connection());
      retryOrFinish(lease, notSent(failure.get()));
    } else if (isTooOld(lease)) {
      service.release(lease.connection());
      connection = null;
      enqueue();
    } else {
      send(lease);
    }
  }

  private static Answer.Failure notSent(Answer.Failure cause) {
    String text = "the member did not take over the session: " + cause.code() + " " + cause.text();
    return new Answer.Failure(FailureCode.OVERLOADED, text);
  }

  /** Returns whether the position that the lease requires may no longer be recent enough. */
  private boolean isTooOld(Lease lease) {
    return !lease.mustConfirmPrimary() && now() - grantedAt > MAX_SYNCHRONIZATION.toNanos();
  }

  private void send(Lease lease) {
    sent = true;
    ClockReading requestedAt = environment.clock().read();
    time.enter(OperationTime.Part.MEMBER, requestedAt.monotonicNanos());
    if (lease.mustConfirmPrimary() && !statement.writes()) {
      sendWithPrimaryConfirmation(lease.connection(), requestedAt);
    } else {
      statement.send(
          lease.connection(),
          lease.requiredPosition(),
          new StatementReplyHandler(lease, requestedAt, Optional.empty()));
    }
    lease.connection().flush();
  }

  private void sendWithPrimaryConfirmation(PooledConnection target, ClockReading requestedAt) {
    BeginReplyHandler begin = new BeginReplyHandler();
    target.send(new TargetCommand.Begin(false, Optional.empty()), false, begin);
    Lease lease = new Lease(target, Optional.empty(), Duration.ZERO);
    statement.send(
        target,
        Optional.empty(),
        new StatementReplyHandler(lease, requestedAt, Optional.of(begin)));
    target.send(new TargetCommand.Rollback(), false, new ReleasingReplyHandler(target));
  }

  private static final class BeginReplyHandler implements ReplyHandler {
    private Optional<Answer.Failure> failure = Optional.empty();

    @Override
    public void replied(TargetReply reply) {
      if (reply.answer() instanceof Answer.Failure f) {
        failure = Optional.of(f);
      }
    }

    @Override
    public void lost(String reason) {}
  }

  private final class ReleasingReplyHandler implements ReplyHandler {
    private final PooledConnection target;

    private ReleasingReplyHandler(PooledConnection target) {
      this.target = target;
    }

    @Override
    public void replied(TargetReply reply) {
      service.release(target);
    }

    @Override
    public void lost(String reason) {}
  }

  private final class StatementReplyHandler implements ReplyHandler {
    private final Lease lease;
    private final ClockReading requestedAt;
    private final Optional<BeginReplyHandler> begin;

    private StatementReplyHandler(
        Lease lease, ClockReading requestedAt, Optional<BeginReplyHandler> begin) {
      this.lease = lease;
      this.requestedAt = requestedAt;
      this.begin = begin;
    }

    @Override
    public void replied(TargetReply reply) {
      if (begin.isEmpty()) {
        service.release(lease.connection());
      }
      Answer answer = reply.answer();
      if (begin.isPresent() && begin.get().failure.isPresent()) {
        answer = begin.get().failure.get();
      }
      boolean confirmedPrimary = lease.mustConfirmPrimary() && answer instanceof Answer.Success;
      if (confirmedPrimary) {
        reply.position().ifPresent(position -> service.recordPosition(requestedAt, position));
      }
      if (!done) {
        onReply(lease, answer, reply.position());
      }
    }

    @Override
    public void lost(String reason) {
      if (done) {
        return;
      }
      if (statement.writes()) {
        finish(new Answer.Failure(FailureCode.UNKNOWN_OUTCOME, reason), Optional.empty());
      } else {
        retryOrFinish(lease, new Answer.Failure(FailureCode.TIMEOUT, reason));
      }
    }
  }

  private void onReply(Lease lease, Answer answer, Optional<LogPosition> position) {
    if (answer instanceof Answer.Failure failure && isRetryable(failure.code())) {
      recordFailure(lease, failure.code());
      retryOrFinish(lease, failure);
    } else {
      finish(answer, position);
    }
  }

  private void recordFailure(Lease lease, FailureCode code) {
    if (code == FailureCode.BEHIND) {
      lease.requiredPosition().ifPresent(lease.connection().pool()::onBehind);
    } else if (code == FailureCode.READ_ONLY) {
      lease.connection().pool().onNotPrimary();
    } else if (code == FailureCode.UNKNOWN_STATEMENT) {
      lease.connection().clearPrepared();
    }
  }

  private boolean isRetryable(FailureCode code) {
    return switch (code) {
      case OVERLOADED, BEHIND, READ_ONLY, UNKNOWN_STATEMENT -> true;
      case FAILED, TIMEOUT, UNKNOWN_OUTCOME -> !statement.writes();
      default -> false;
    };
  }

  private void retryOrFinish(Lease lease, Answer.Failure failure) {
    long now = now();
    lastFailure = failure.code() + " from " + lease.connection().pool().member().id().name();
    OptionalLong nextAttemptAt = nextAttemptAt(failure.code(), now);
    if (nextAttemptAt.isEmpty()) {
      finish(failure, Optional.empty());
      return;
    }
    environment.metrics().recordRetry();
    environment
        .log()
        .request("retry")
        .with("request", statement.statement().id())
        .with("member", lease.connection().pool().member().id().name())
        .with("code", failure.code())
        .with("attempt", attempts)
        .write();
    connection = null;
    sent = false;
    request = newRequest();
    MemberPool pool = lease.connection().pool();
    if (service.retries().isPresent()) {
      request.avoid(pool, nextAttemptAt.getAsLong());
      service.submit(request);
    } else {
      service.submit(request);
      request.avoid(pool, nextAttemptAt.getAsLong());
    }
  }

  private OptionalLong nextAttemptAt(FailureCode code, long now) {
    return StatementRetryPolicy.nextAttemptAt(
        service.retries(), code, attempts, now, arrivedAt, route.timeout(), environment.metrics());
  }

  private void finish(Answer answer, Optional<LogPosition> position) {
    if (done) {
      return;
    }
    done = true;
    logEnd(answer);
    onAnswer.accept(answer, position);
  }

  private void logEnd(Answer answer) {
    time.end(now());
    environment.metrics().recordParts(time);
    time.writeTo(environment.log().request("statement"))
        .with("request", statement.statement().id())
        .with("organisation", organisation)
        .with("route", route.name())
        .with("service", route.service())
        .with("effect", statement.effect())
        .with("member", connection == null ? "none" : connection.pool().member().id().name())
        .with("attempts", attempts)
        .with(
            "needed", lastLease.map(SingleStatementTask::describeRequirement).orElse("not granted"))
        .with("queued_ms", attempts == 0 ? "all" : elapsedMillis(grantedAt))
        .with("took_ms", Duration.ofNanos(now() - arrivedAt).toMillis())
        .with("outcome", AnswerText.of(answer))
        .write();
  }

  private static String describeRequirement(Lease lease) {
    return lease
        .requiredPosition()
        .map(position -> position + " of " + lease.timeSinceReached().toMillis() + " ms ago")
        .orElse("the primary");
  }

  private long elapsedMillis(long until) {
    return Duration.ofNanos(until - arrivedAt).toMillis();
  }

  @Override
  public void tick(long now) {
    if (!done && now - deadline >= 0) {
      expire();
    }
  }

  @Override
  public void expire() {
    service.cancel(request);
    PooledConnection held = connection;
    if (!sent) {
      returnUnusedToken();
      finish(new Answer.Failure(FailureCode.OVERLOADED, lastFailure), Optional.empty());
      if (held != null) {
        held.close(NO_ANSWER);
      }
      return;
    }
    FailureCode code = statement.writes() ? FailureCode.UNKNOWN_OUTCOME : FailureCode.TIMEOUT;
    finish(new Answer.Failure(code, NO_ANSWER), Optional.empty());
    held.close(NO_ANSWER);
  }

  @Override
  public void abandon() {
    done = true;
    service.cancel(request);
  }
}
