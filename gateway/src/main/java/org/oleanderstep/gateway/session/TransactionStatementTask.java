package org.oleanderstep.gateway.session;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.GatewayRoute;
import org.oleanderstep.gateway.target.Lease;
import org.oleanderstep.gateway.target.LeaseRequest;
import org.oleanderstep.gateway.target.MemberPool;
import org.oleanderstep.gateway.target.PooledConnection;
import org.oleanderstep.gateway.target.ReplyHandler;
import org.oleanderstep.gateway.target.ServiceRetries;
import org.oleanderstep.gateway.target.TargetCommand;
import org.oleanderstep.gateway.target.TargetReply;

/**
 * Serves a statement or the commit of a transaction. The first one begins the transaction at a
 * member; if that fails, another member may be tried.
 */
final class TransactionStatementTask implements StatementTask {

  /** The outcome for the session. */
  record Result(Answer answer, SessionStatus status, Optional<LogPosition> position) {}

  private static final String NO_ANSWER = "the member did not answer in time";

  private final SessionEnvironment environment;
  private final TransactionState transaction;
  private final OrganisationId organisation;
  private final ResolvedStatement statement;
  private final LeaseRequest.Requirement requirement;
  private final Consumer<Result> onResult;
  private final long arrivedAt;
  private final long deadline;
  private final OperationTime time;
  private Optional<LeaseRequest> request = Optional.empty();
  private Optional<PooledConnection> beginningConnection = Optional.empty();
  private Optional<Answer.Failure> preparationFailure = Optional.empty();
  private Optional<Long> resendAt = Optional.empty();
  private int attempts;
  private boolean sent;
  private boolean abandoned;
  private boolean done;

  TransactionStatementTask(
      SessionEnvironment environment,
      TransactionState transaction,
      OrganisationId organisation,
      ResolvedStatement statement,
      LeaseRequest.Requirement requirement,
      Consumer<Result> onResult) {
    this.environment = environment;
    this.transaction = transaction;
    this.organisation = organisation;
    this.statement = statement;
    this.requirement = requirement;
    this.onResult = onResult;
    arrivedAt = now();
    deadline = arrivedAt + transaction.route().timeout().toNanos();
    time = new OperationTime(transaction.takeTokenWait(), arrivedAt);
  }

  private long now() {
    return environment.clock().monotonicNanos();
  }

  private boolean isCommit() {
    return statement.statement().kind() == StatementKind.COMMIT;
  }

  @Override
  public void start() {
    if (!transaction.hasConnection()) {
      transaction.service().retries().ifPresent(ServiceRetries::onFirstAttempt);
      enqueue();
    } else if (transaction.connection().acceptsCommands()) {
      send();
    } else {
      fail(FailureCode.ABORTED, "the connection of the transaction was lost");
    }
  }

  private void enqueue() {
    submit(newRequest());
  }

  private void submit(LeaseRequest created) {
    request = Optional.of(created);
    transaction.service().submit(created);
  }

  private LeaseRequest newRequest() {
    GatewayRoute route = transaction.route();
    time.enter(OperationTime.Part.CONNECTION, now());
    return new LeaseRequest(
            organisation,
            route.priority(),
            requirement,
            now(),
            QueueLimit.expiresAt(arrivedAt, route.timeout(), attempts),
            this::begin,
            this::onRefused)
        .withTarget(arrivedAt - time.in(OperationTime.Part.TOKEN).toNanos(), route.targetLatency());
  }

  private void onRefused(String reason) {
    if (attempts == 0) {
      environment.admission().returnToken(organisation);
    }
    fail(FailureCode.OVERLOADED, reason);
  }

  private void begin(Lease lease) {
    attempts++;
    time.enter(OperationTime.Part.SYNCHRONIZATION, now());
    PooledConnection connection = lease.connection();
    beginningConnection = Optional.of(connection);
    preparationFailure = Optional.empty();
    // The replies arrive in order: before that to the begin.
    statement.synchronize(connection, failure -> preparationFailure = failure);
    boolean readWrite = lease.mustConfirmPrimary();
    connection.begin(
        new TargetCommand.Begin(!readWrite, lease.requiredPosition()),
        new ReplyHandler() {
          @Override
          public void replied(TargetReply reply) {
            beginningConnection = Optional.empty();
            onBegun(lease, reply);
          }

          @Override
          public void lost(String reason) {
            beginningConnection = Optional.empty();
            retryBegin(lease, FailureCode.TIMEOUT, reason);
          }
        });
    connection.flush();
  }

  private void onBegun(Lease lease, TargetReply reply) {
    if (reply.answer() instanceof Answer.Failure failure) {
      if (failure.code() == FailureCode.BEHIND) {
        lease.requiredPosition().ifPresent(lease.connection().pool()::onBehind);
      }
      transaction.service().release(lease.connection());
      retryBegin(lease, failure.code(), failure.text());
      return;
    }
    transaction.onBegun(lease.connection(), lease.mustConfirmPrimary());
    if (abandoned || done) {
      transaction.rollBack();
    } else if (preparationFailure.isPresent()) {
      transaction.rollBack();
      retryBegin(lease, FailureCode.OVERLOADED, preparationFailure.get().text());
    } else {
      send();
    }
  }

  private void retryBegin(Lease lease, FailureCode code, String reason) {
    if (done || abandoned) {
      return;
    }
    long now = now();
    Optional<ServiceRetries> retries = transaction.service().retries();
    OptionalLong nextAttemptAt =
        StatementRetryPolicy.nextAttemptAt(
            retries,
            code,
            attempts,
            now,
            arrivedAt,
            transaction.route().timeout(),
            environment.metrics());
    if (nextAttemptAt.isEmpty()) {
      fail(FailureCode.OVERLOADED, "the transaction could not begin: " + code + " " + reason);
      return;
    }
    environment.metrics().recordRetry();
    LeaseRequest created = newRequest();
    MemberPool pool = lease.connection().pool();
    if (retries.isPresent()) {
      created.avoid(pool, nextAttemptAt.getAsLong());
      submit(created);
    } else {
      submit(created);
      created.avoid(pool, nextAttemptAt.getAsLong());
    }
  }

  private void recordPosition(TargetReply reply, ClockReading requestedAt) {
    if (transaction.confirmsPrimary()) {
      reply.position().ifPresent(p -> transaction.service().recordPosition(requestedAt, p));
    }
  }

  private void send() {
    time.enter(OperationTime.Part.SYNCHRONIZATION, now());
    PooledConnection connection = transaction.connection();
    if (!connection.acceptsCommands()) {
      fail(FailureCode.ABORTED, "the connection of the transaction was lost");
      return;
    }
    statement.synchronize(connection, failure -> onSynchronized(connection, failure));
    connection.flush();
  }

  private void onSynchronized(PooledConnection connection, Optional<Answer.Failure> failure) {
    if (abandoned || done) {
      return;
    }
    if (failure.isEmpty()) {
      sendSynchronized(connection);
    } else if (isRefusedInTransaction(failure.get(), connection.status()) && hasTimeToResend()) {
      resendLater();
    } else {
      fail(FailureCode.ABORTED, "the member did not take over the session: " + failure.get());
    }
  }

  private static boolean isRefusedInTransaction(Answer answer, SessionStatus status) {
    return answer instanceof Answer.Failure failure
        && failure.code() == FailureCode.OVERLOADED
        && status == SessionStatus.IN_TRANSACTION;
  }

  private boolean hasTimeToResend() {
    return now() + StatementRetryPolicy.RETRY_DELAY.toNanos() - deadline < 0;
  }

  private void resendLater() {
    time.enter(OperationTime.Part.SYNCHRONIZATION, now());
    sent = false;
    resendAt = Optional.of(now() + StatementRetryPolicy.RETRY_DELAY.toNanos());
  }

  private void sendSynchronized(PooledConnection connection) {
    ClockReading requestedAt = environment.clock().read();
    time.enter(OperationTime.Part.MEMBER, requestedAt.monotonicNanos());
    sent = true;
    statement.send(
        connection,
        Optional.empty(),
        new ReplyHandler() {
          @Override
          public void replied(TargetReply reply) {
            onReply(reply, requestedAt);
          }

          @Override
          public void lost(String reason) {
            onLost(reason);
          }
        });
    connection.flush();
  }

  private void onReply(TargetReply reply, ClockReading requestedAt) {
    // A former primary also accepts the commit of a transaction without writes, so that its success
    // does not confirm that the member is the primary.
    if (reply.succeeded() && !isCommit()) {
      recordPosition(reply, requestedAt);
    }
    if (abandoned) {
      endMemberTransaction(reply);
      return;
    }
    if (done) {
      return;
    }
    if (isRefusedInTransaction(reply.answer(), reply.status()) && hasTimeToResend()) {
      resendLater();
      return;
    }
    finish(reply);
  }

  private void endMemberTransaction(TargetReply reply) {
    if (reply.status() == SessionStatus.IDLE) {
      transaction.release();
    } else {
      transaction.rollBack();
    }
  }

  private void finish(TargetReply reply) {
    if (isCommit() && !reply.succeeded()) {
      endMemberTransaction(reply);
      finish(new Result(reply.answer(), SessionStatus.IDLE, Optional.empty()));
      return;
    }
    if (reply.status() == SessionStatus.IDLE) {
      transaction.release();
    }
    finish(new Result(reply.answer(), statusForCaller(reply), reply.position()));
  }

  /** A caller whose transaction the member has ended must not run its next statement outside. */
  private SessionStatus statusForCaller(TargetReply reply) {
    boolean endedByMember = !isCommit() && reply.status() == SessionStatus.IDLE;
    return endedByMember ? SessionStatus.FAILED_TRANSACTION : reply.status();
  }

  private void onLost(String reason) {
    if (abandoned || done) {
      return;
    }
    if (isCommit()) {
      // The member may have committed before the connection was lost.
      Answer answer = new Answer.Failure(FailureCode.UNKNOWN_OUTCOME, reason);
      finish(new Result(answer, SessionStatus.IDLE, Optional.empty()));
    } else {
      fail(FailureCode.ABORTED, reason);
    }
  }

  private void fail(FailureCode code, String reason) {
    if (done) {
      return;
    }
    SessionStatus status = isCommit() ? SessionStatus.IDLE : SessionStatus.FAILED_TRANSACTION;
    if (!sent) {
      transaction.rollBack();
    }
    finish(new Result(new Answer.Failure(code, reason), status, Optional.empty()));
  }

  private void finish(Result result) {
    done = true;
    logEnd(result.answer());
    onResult.accept(result);
  }

  private void logEnd(Answer answer) {
    time.end(now());
    environment.metrics().recordParts(time);
    time.writeTo(environment.log().request("transaction_statement"))
        .with("request", statement.statement().id())
        .with("organisation", organisation)
        .with("route", transaction.route().name())
        .with("service", transaction.route().service())
        .with("kind", statement.statement().kind())
        .with(
            "member",
            transaction.hasConnection()
                ? transaction.connection().pool().member().id().name()
                : "none")
        .with("attempts", attempts)
        .with("took_ms", Duration.ofNanos(now() - arrivedAt).toMillis())
        .with("outcome", AnswerText.of(answer))
        .write();
  }

  @Override
  public void tick(long now) {
    if (done || abandoned) {
      return;
    }
    if (resendAt.isPresent() && now - resendAt.get() >= 0) {
      resendAt = Optional.empty();
      send();
    }
    if (now - deadline >= 0) {
      expire();
    }
  }

  @Override
  public void expire() {
    request.ifPresent(transaction.service()::cancel);
    if (beginningConnection.isPresent()) {
      PooledConnection held = beginningConnection.get();
      fail(FailureCode.ABORTED, "the member did not begin the transaction in time");
      held.close(NO_ANSWER);
    } else if (sent) {
      // Closing the connection makes the member roll back, unless a commit is in progress.
      transaction.connection().close(NO_ANSWER);
    } else {
      fail(FailureCode.ABORTED, "the statement could not be sent in time");
    }
  }

  @Override
  public void abandon() {
    abandoned = true;
    request.ifPresent(transaction.service()::cancel);
    if (!sent && beginningConnection.isEmpty()) {
      transaction.rollBack();
    }
  }
}
