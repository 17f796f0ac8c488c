package org.oleanderstep.proxy.internal.caller;

import java.io.IOException;
import java.sql.SQLException;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.calcite.avatica.remote.Service;
import org.oleanderstep.core.idempotency.IdempotencyDecision;
import org.oleanderstep.core.idempotency.RecordedRequest;
import org.oleanderstep.core.idempotency.RequestFailure;
import org.oleanderstep.core.idempotency.RequestFingerprint;
import org.oleanderstep.core.idempotency.RequestProgress;
import org.oleanderstep.core.idempotency.RequestStage;
import org.oleanderstep.core.idempotency.RetryBudget;
import org.oleanderstep.core.idempotency.RetryPolicy;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.position.ReadRequirement;
import org.oleanderstep.core.position.SessionState;
import org.oleanderstep.core.position.TransactionToken;
import org.oleanderstep.core.routing.StatementKind;
import org.oleanderstep.proxy.internal.target.ConnectionState;
import org.oleanderstep.proxy.internal.target.GroupPosition;
import org.oleanderstep.proxy.internal.target.Lease;
import org.oleanderstep.proxy.internal.target.LeaseRequest;
import org.oleanderstep.proxy.internal.target.OutcomeException;
import org.oleanderstep.proxy.internal.target.RequestIdTable;
import org.oleanderstep.proxy.internal.target.StaleReadException;
import org.oleanderstep.proxy.internal.target.TargetConnection;
import org.oleanderstep.proxy.internal.target.Targets;
import org.oleanderstep.proxy.internal.target.TrafficContext;
import org.oleanderstep.proxy.internal.traffic.Admission;
import org.oleanderstep.proxy.internal.traffic.TrafficEvent;

/**
 * Runs statements, commits and rollbacks of callers on targets: retries, request ids, transactions
 * and the session's positions.
 */
final class StatementExecutor {

  private static final RequestFingerprint COMMIT = RequestFingerprint.of("commit", List.of());

  private final TrafficContext context;
  private final Targets targets;
  private final InstantSource wallClock;
  private final RetryPolicy retries;
  private final RetryBudget budget;
  private final Set<DatabaseId> tablesReady = ConcurrentHashMap.newKeySet();
  private final AtomicLong transactionNumbers = new AtomicLong();

  StatementExecutor(
      TrafficContext context, Targets targets, InstantSource wallClock, RetryBudget budget) {
    this.context = context;
    this.targets = targets;
    this.wallClock = wallClock;
    this.budget = budget;
    this.retries = new RetryPolicy(budget);
  }

  /** Runs a statement or batch. */
  CompletableFuture<Service.Response> execute(
      CallContext call, CallerConnection connection, StatementRun run) {
    if (run.maxTextLength() > context.settings().maxStatementBytes()) {
      return refused(NotRunReason.BAD_REQUEST, "the statement is too long");
    }
    if (!connection.properties().autoCommit()) {
      return inTransaction(call, connection, run);
    }
    StatementKind kind = run.kind();
    if (kind.writes() && call.caller().requestIdRequired() && call.call().requestId().isEmpty()) {
      return refused(NotRunReason.REQUEST_ID_REQUIRED, "set one with RequestIds.use");
    }
    synchronized (budget) {
      budget.onFirstAttempt();
    }
    return attempt(call, connection, run, kind, new RequestProgress(), false);
  }

  private static <T> CompletableFuture<T> refused(NotRunReason reason, String detail) {
    return CompletableFuture.failedFuture(OutcomeException.notRun(reason, detail));
  }

  private CompletableFuture<Service.Response> attempt(
      CallContext call,
      CallerConnection connection,
      StatementRun run,
      StatementKind kind,
      RequestProgress progress,
      boolean onPrimary) {
    LeaseRequest request =
        kind.writes() || (onPrimary && hasRequiredPosition(call))
            ? writeRequest(call, true)
            : readRequest(call, call.caller().rateLimited());
    return targets
        .run(
            call.database(),
            request,
            lease -> onLease(call, connection, run, kind, progress, lease))
        .exceptionallyCompose(
            failure -> retryOrFail(call, connection, run, kind, progress, failure));
  }

  /**
   * Returns whether the session requires a position, by which the response of a replaced primary is
   * recognised. Without one, a retry must wait for a confirmed position as the first attempt did,
   * because the known primary may have been replaced.
   */
  private static boolean hasRequiredPosition(CallContext call) {
    return !call.session().requirement(call.database()).position().equals(LogPosition.START);
  }

  private CompletableFuture<Service.Response> retryOrFail(
      CallContext call,
      CallerConnection connection,
      StatementRun run,
      StatementKind kind,
      RequestProgress progress,
      Throwable failure) {
    Outcome outcome = ErrorResponses.outcomeOf(failure);
    if (progress.stage() == RequestStage.RECEIVED && outcome instanceof Outcome.NotRun notRun) {
      // The refusal happened before this attempt was sent and says nothing about earlier attempts.
      outcome = progress.fail(new RequestFailure.AbortedByProxy(notRun.reason(), notRun.detail()));
    }
    boolean hasId = kind.writes() && call.call().requestId().isPresent();
    if (System.nanoTime() - call.call().deadlineNanos() < 0
        && mayRetry(new RetryPolicy.Attempt(kind, false, hasId, false), outcome)) {
      progress.startRetry();
      context.metrics().recordRetry();
      return attempt(call, connection, run, kind, progress, true);
    }
    if (outcome instanceof Outcome.Unknown && kind.writes()) {
      call.recordUnknownWrite(context.control().snapshot());
    }
    return CompletableFuture.failedFuture(new OutcomeException(outcome));
  }

  private boolean mayRetry(RetryPolicy.Attempt attempt, Outcome outcome) {
    synchronized (budget) {
      return retries.mayRetry(attempt, outcome);
    }
  }

  private LeaseRequest writeRequest(CallContext call, boolean rateLimited) {
    return LeaseRequest.write(
        call.caller().organisation(),
        rateLimited && call.caller().rateLimited(),
        call.session().requirement(call.database()).position(),
        call.call().deadlineNanos(),
        call.call().callerDisconnected());
  }

  private LeaseRequest readRequest(CallContext call, boolean limited) {
    return LeaseRequest.read(
        call.caller().organisation(),
        limited,
        call.session().requirement(call.database()),
        call.caller().readRule(),
        call.call().deadlineNanos(),
        call.call().callerDisconnected());
  }

  /** Runs a statement in auto-commit mode. Blocks; call only on a worker thread. */
  private Service.Response onLease(
      CallContext call,
      CallerConnection connection,
      StatementRun run,
      StatementKind kind,
      RequestProgress progress,
      Lease lease) {
    TargetConnection target = lease.connection();
    boolean keep = false;
    try {
      target.beginRequest(call.remaining(context.settings().statementTimeout()));
      progress.advanceTo(RequestStage.CONNECTED);
      Service.Response response =
          kind.writes() && call.call().requestId().isPresent()
              ? runWithId(call, connection, run, progress, target, lease)
              : runPlain(connection, run, progress, target, lease);
      progress.advanceTo(RequestStage.ANSWERED);
      if (!kind.writes()) {
        checkFresh(call, run, progress, lease);
      }
      keep = run.statement().cursor().isPresent();
      updateSession(call, lease, kind.writes());
      return response;
    } catch (StaleReadException e) {
      run.statement().setCursor(null);
      throw e;
    } catch (SQLException | RuntimeException e) {
      run.statement().setCursor(null);
      throw failure(call, connection, progress, lease, e);
    } finally {
      if (keep) {
        lease.endStatement(false);
      } else {
        lease.release();
      }
    }
  }

  private static Service.Response runPlain(
      CallerConnection connection,
      StatementRun run,
      RequestProgress progress,
      TargetConnection target,
      Lease lease)
      throws SQLException {
    target.apply(connection.properties().withAutoCommit(true));
    progress.advanceTo(RequestStage.SENT_WITH_COMMIT);
    return run.run(lease, true, false);
  }

  private OutcomeException failure(
      CallContext call,
      CallerConnection connection,
      RequestProgress progress,
      Lease lease,
      Exception e) {
    if (e instanceof OutcomeException known) {
      return known;
    }
    RequestFailure failure =
        TargetFailureClassifier.classify(e, lease.connection(), connection.properties().readOnly());
    if (failure instanceof RequestFailure.RefusedByTarget) {
      context
          .control()
          .report(
              new TrafficEvent.MemberRefusedWrite(
                  call.database(), lease.connection().member(), lease.term()));
    } else if (lease.connection().isResponseLost()) {
      context
          .control()
          .report(
              new TrafficEvent.MemberConnectionFailed(
                  call.database(), lease.connection().member(), lease.connection().incarnation()));
    }
    return new OutcomeException(progress.fail(failure));
  }

  /**
   * Rejects a response from a member whose data is older than the session requires, which happens
   * if the member was rebuilt after it was selected.
   */
  private static void checkFresh(
      CallContext call, StatementRun run, RequestProgress progress, Lease lease) {
    Optional<LogPosition> position = lease.connection().lastPosition().map(GroupPosition::position);
    if (!lease.isResponseFresh() || !meets(call.session().requirement(call.database()), position)) {
      run.statement().closeCursor();
      progress.startRetry();
      throw new StaleReadException();
    }
  }

  /** Updates the session with the position that came with a response. */
  private void updateSession(CallContext call, Lease lease, boolean wrote) {
    Optional<GroupPosition> responsePosition = lease.connection().lastPosition();
    responsePosition.ifPresent(
        seen ->
            context
                .control()
                .report(
                    new TrafficEvent.PositionSeen(
                        call.database(),
                        lease.connection().member(),
                        seen.incarnation(),
                        seen.position())));
    Optional<LogPosition> position = responsePosition.map(GroupPosition::position);
    SessionState session = call.session();
    if (wrote) {
      if (position.isPresent()) {
        call.setSession(session.afterAcknowledgedWrite(call.database(), position.get()));
      } else {
        call.recordUnknownWrite(context.control().snapshot());
      }
      return;
    }
    context.metrics().recordRead(lease.isPrimary());
    position.ifPresent(seen -> call.setSession(session.afterRead(call.database(), seen)));
  }

  /**
   * Runs a statement in the same transaction that records its request id. Blocks; call only on a
   * worker thread.
   */
  private Service.Response runWithId(
      CallContext call,
      CallerConnection connection,
      StatementRun run,
      RequestProgress progress,
      TargetConnection target,
      Lease lease)
      throws SQLException {
    String requestId = call.call().requestId().orElseThrow();
    RequestFingerprint fingerprint = run.fingerprint();
    ensureTable(call, target);
    target.apply(connection.properties().withAutoCommit(false));
    progress.advanceTo(
        run.kind().undoneByRollback()
            ? RequestStage.SENT_IN_TRANSACTION
            : RequestStage.SENT_WITH_COMMIT);
    IdempotencyDecision decision =
        insert(call, target, requestId, fingerprint, RecordedRequest.Result.COMPLETED);
    if (decision instanceof IdempotencyDecision.ReturnRecorded recorded) {
      return run.replay(decode(recorded.recorded()));
    }
    if (decision instanceof IdempotencyDecision.Reject reject) {
      throw new OutcomeException(reject.outcome());
    }
    Service.Response response = run.run(lease, false, false);
    if (run.statement().cursor().isPresent()) {
      run.statement().closeCursor();
      throw OutcomeException.notRun(
          NotRunReason.BAD_REQUEST,
          "the result of a request with a request id must fit into one frame");
    }
    byte[] bytes = StatementRun.encode(response);
    if (bytes.length > RequestIdTable.MAX_RESPONSE_BYTES) {
      throw OutcomeException.notRun(NotRunReason.BAD_REQUEST, "the response is too long to record");
    }
    RequestIdTable.record(target, call.caller().organisation(), requestId, bytes);
    if (progress.stage() != RequestStage.SENT_WITH_COMMIT) {
      progress.advanceTo(RequestStage.SENT_WITH_COMMIT);
    }
    target.commit();
    return response;
  }

  private static Service.Response decode(RecordedRequest recorded) {
    byte[] bytes = new byte[recorded.answer().remaining()];
    recorded.answer().get(bytes);
    try {
      return Protocol.TRANSLATION.parseResponse(bytes);
    } catch (IOException e) {
      throw new IllegalStateException("recorded response cannot be parsed", e);
    }
  }

  /**
   * Inserts a request id in the open transaction, or finds its record, and decides whether the
   * request has to run. If it does not, the transaction is rolled back.
   */
  private IdempotencyDecision insert(
      CallContext call,
      TargetConnection target,
      String requestId,
      RequestFingerprint fingerprint,
      RecordedRequest.Result result)
      throws SQLException {
    boolean inserted;
    try {
      inserted =
          RequestIdTable.insert(
              target,
              call.caller().organisation(),
              requestId,
              fingerprint,
              result,
              wallClock.instant());
    } catch (SQLException e) {
      if (RequestIdTable.isTableMissing(e)) {
        tablesReady.remove(call.database());
      }
      throw e;
    }
    if (inserted) {
      return new IdempotencyDecision.Run();
    }
    target.rollback();
    Optional<RecordedRequest> found =
        RequestIdTable.find(target, call.caller().organisation(), requestId);
    target.rollback();
    if (found.isEmpty()) {
      throw OutcomeException.notRun(
          NotRunReason.NO_CAPACITY,
          "another call with the same request id has just ended; try again");
    }
    return IdempotencyDecision.of(found, fingerprint);
  }

  /** Creates the table of request ids if it is missing. Must not be called in a transaction. */
  private void ensureTable(CallContext call, TargetConnection target) throws SQLException {
    if (!tablesReady.contains(call.database())) {
      target.apply(ConnectionState.DEFAULT);
      RequestIdTable.createIfMissing(target);
      tablesReady.add(call.database());
    }
  }

  private CompletableFuture<Service.Response> inTransaction(
      CallContext call, CallerConnection connection, StatementRun run) {
    if (connection.isTransactionLost() || call.isTransactionElsewhere()) {
      return refused(NotRunReason.TRANSACTION_LOST, "roll back and run it again");
    }
    Optional<CallerConnection.Transaction> open = connection.transaction();
    if (open.isEmpty()) {
      if (call.snapshot().leaving()) {
        return refused(NotRunReason.STOPPING, "begin the transaction on another proxy");
      }
      boolean readOnly = connection.properties().readOnly() && !run.kind().writes();
      LeaseRequest request =
          readOnly ? readRequest(call, call.caller().rateLimited()) : writeRequest(call, true);
      return targets.run(
          call.database(), request, lease -> begin(call, connection, run, lease, readOnly));
    }
    return admit(call)
        .thenApplyAsync(
            none -> {
              open.get().lease().startStatement();
              return runInTransaction(call, connection, run, open.get());
            },
            context.workers());
  }

  private CompletableFuture<Void> admit(CallContext call) {
    if (!call.caller().rateLimited()) {
      return CompletableFuture.completedFuture(null);
    }
    return context
        .control()
        .admit(call.caller().organisation(), call.call().deadlineNanos())
        .thenAccept(
            admission -> {
              if (admission instanceof Admission.Refused refused) {
                throw OutcomeException.notRun(refused.reason(), refused.detail());
              }
            });
  }

  private Service.Response begin(
      CallContext call,
      CallerConnection connection,
      StatementRun run,
      Lease lease,
      boolean readOnly) {
    CallerConnection.Transaction transaction =
        new CallerConnection.Transaction(lease, transactionNumbers.incrementAndGet(), readOnly);
    try {
      lease.connection().beginRequest(call.remaining(context.settings().statementTimeout()));
      if (!readOnly && lease.isPrimary()) {
        // The commit may have a request id, and its table cannot be created within a transaction.
        ensureTable(call, lease.connection());
      }
      lease.connection().apply(connection.properties());
    } catch (SQLException | RuntimeException e) {
      lease.release();
      throw failure(call, connection, new RequestProgress(), lease, e);
    }
    connection.setTransaction(transaction);
    call.setSession(
        call.session()
            .withTransaction(
                new TransactionToken(
                    call.snapshot().vm(), call.snapshot().instance(), transaction.number())));
    Service.Response response = runInTransaction(call, connection, run, transaction);
    if (readOnly && !lease.isResponseFresh()) {
      // The caller has received nothing of the transaction, so it can begin again on another
      // member.
      markTransactionLost(call, connection);
      connection.setTransactionLost(false);
      throw new StaleReadException();
    }
    return response;
  }

  private Service.Response runInTransaction(
      CallContext call,
      CallerConnection connection,
      StatementRun run,
      CallerConnection.Transaction transaction) {
    Lease lease = transaction.lease();
    RequestProgress progress = new RequestProgress();
    try {
      lease.connection().beginRequest(call.remaining(context.settings().statementTimeout()));
      progress.advanceTo(
          run.kind() == StatementKind.OTHER
              ? RequestStage.SENT_WITH_COMMIT
              : RequestStage.SENT_IN_TRANSACTION);
      run.statement().closeCursor();
      Service.Response response = run.run(lease, false, connection.hasOpenCursor());
      if (connection.isTransactionLost()) {
        throw OutcomeException.notRun(
            NotRunReason.TRANSACTION_LOST, "the key of the caller was withdrawn");
      }
      return response;
    } catch (SQLException | RuntimeException e) {
      OutcomeException failure = failure(call, connection, progress, lease, e);
      if (lease.connection().isResponseLost() || failure.outcome() instanceof Outcome.NotRun) {
        markTransactionLost(call, connection);
        if (failure.outcome() instanceof Outcome.NotRun) {
          throw OutcomeException.notRun(
              NotRunReason.TRANSACTION_LOST, "the member ended the transaction");
        }
      }
      throw failure;
    } finally {
      lease.endStatement(lease.connection().isResponseLost());
    }
  }

  /** Ends a transaction that cannot continue; the caller has to roll it back. */
  private static void markTransactionLost(CallContext call, CallerConnection connection) {
    Optional<CallerConnection.Transaction> open = connection.transaction();
    connection.setTransactionLost(true);
    connection.setTransaction(null);
    connection.closeCursors();
    open.ifPresent(
        transaction -> {
          transaction.lease().connection().markBroken();
          transaction.lease().release();
        });
    call.setSession(call.session().withoutTransaction());
  }

  /** Commits the transaction of a connection. */
  CompletableFuture<Service.Response> commit(
      CallContext call, CallerConnection connection, Service.Response response) {
    Optional<CallerConnection.Transaction> open = connection.transaction();
    Optional<String> requestId = call.call().requestId();
    if (open.isPresent()) {
      if (!open.get().readOnly() && call.caller().requestIdRequired() && requestId.isEmpty()) {
        return refused(NotRunReason.REQUEST_ID_REQUIRED, "set a request id for the commit");
      }
      return CompletableFuture.supplyAsync(
              () -> commitOpen(call, connection, open.get(), response), context.workers())
          .exceptionallyCompose(failure -> resolveCommit(call, failure, response));
    }
    if (connection.isTransactionLost()) {
      connection.setTransactionLost(false);
      call.setSession(call.session().withoutTransaction());
      return refused(NotRunReason.TRANSACTION_LOST, "run it again");
    }
    if (!call.isTransactionElsewhere()) {
      return CompletableFuture.completedFuture(response);
    }
    call.setSession(call.session().withoutTransaction());
    call.recordUnknownWrite(context.control().snapshot());
    Outcome unknown = new Outcome.Unknown("the transaction was held by another proxy");
    return resolveCommit(call, new OutcomeException(unknown), response);
  }

  private Service.Response commitOpen(
      CallContext call,
      CallerConnection connection,
      CallerConnection.Transaction transaction,
      Service.Response response) {
    Lease lease = transaction.lease();
    TargetConnection target = lease.connection();
    RequestProgress progress = new RequestProgress();
    lease.startStatement();
    try {
      target.beginRequest(call.remaining(context.settings().statementTimeout()));
      connection.closeCursors();
      progress.advanceTo(RequestStage.SENT_IN_TRANSACTION);
      boolean alreadyCommitted = !transaction.readOnly() && isRepeatedCommit(call, target);
      if (!alreadyCommitted) {
        progress.advanceTo(RequestStage.SENT_WITH_COMMIT);
        target.commit();
      }
      updateSession(call, lease, !transaction.readOnly());
      return response;
    } catch (SQLException | RuntimeException e) {
      throw failure(call, connection, progress, lease, e);
    } finally {
      connection.setTransaction(null);
      call.setSession(call.session().withoutTransaction());
      lease.release();
    }
  }

  /** Records the request id of a commit; returns true if the same request has already committed. */
  private boolean isRepeatedCommit(CallContext call, TargetConnection target) throws SQLException {
    if (call.call().requestId().isEmpty()) {
      return false;
    }
    IdempotencyDecision decision =
        insert(
            call, target, call.call().requestId().get(), COMMIT, RecordedRequest.Result.COMPLETED);
    if (decision instanceof IdempotencyDecision.Reject reject) {
      throw new OutcomeException(reject.outcome());
    }
    return decision instanceof IdempotencyDecision.ReturnRecorded;
  }

  /** Determines the outcome of an unconfirmed commit by its request id, if it has one. */
  private CompletableFuture<Service.Response> resolveCommit(
      CallContext call, Throwable failure, Service.Response response) {
    Outcome outcome = ErrorResponses.outcomeOf(failure);
    if (!(outcome instanceof Outcome.Unknown)) {
      return CompletableFuture.failedFuture(new OutcomeException(outcome));
    }
    call.recordUnknownWrite(context.control().snapshot());
    if (call.call().requestId().isEmpty()) {
      return CompletableFuture.failedFuture(new OutcomeException(outcome));
    }
    return targets
        .run(call.database(), writeRequest(call, false), lease -> abandon(call, lease, response))
        .exceptionallyCompose(
            secondFailure -> {
              Outcome resolved = ErrorResponses.outcomeOf(secondFailure);
              boolean provenNotRun =
                  resolved instanceof Outcome.NotRun notRun
                      && notRun.reason() == NotRunReason.TRANSACTION_LOST;
              return CompletableFuture.failedFuture(
                  new OutcomeException(provenNotRun ? resolved : outcome));
            });
  }

  private Service.Response abandon(CallContext call, Lease lease, Service.Response response) {
    TargetConnection target = lease.connection();
    try {
      target.beginRequest(call.remaining(context.settings().statementTimeout()));
      ensureTable(call, target);
      target.apply(ConnectionState.DEFAULT.withAutoCommit(false));
      String requestId = call.call().requestId().orElseThrow();
      IdempotencyDecision decision =
          insert(call, target, requestId, COMMIT, RecordedRequest.Result.ABANDONED);
      if (decision instanceof IdempotencyDecision.Run) {
        target.commit();
        decision = IdempotencyDecision.afterAbandon(Optional.empty(), COMMIT);
      }
      updateSession(call, lease, true);
      if (decision instanceof IdempotencyDecision.Reject reject) {
        throw new OutcomeException(reject.outcome());
      }
      return response;
    } catch (SQLException e) {
      throw new OutcomeException(new Outcome.Unknown("the request id could not be checked"));
    } finally {
      lease.release();
    }
  }

  /** Rolls back the transaction of a connection. */
  CompletableFuture<Service.Response> rollback(
      CallContext call, CallerConnection connection, Service.Response response) {
    connection.setTransactionLost(false);
    call.setSession(call.session().withoutTransaction());
    Optional<CallerConnection.Transaction> open = connection.transaction();
    if (open.isEmpty()) {
      return CompletableFuture.completedFuture(response);
    }
    return CompletableFuture.supplyAsync(
        () -> {
          connection.rollBackTransaction();
          return response;
        },
        context.workers());
  }

  /**
   * Runs a read that is not a caller's statement, such as a metadata query, on a suitable member.
   */
  <T> CompletableFuture<T> read(CallContext call, CallerConnection connection, TargetRead<T> work) {
    return runOnTarget(call, connection, readRequest(call, false), work);
  }

  /**
   * Prepares a statement on a member that can run it: some databases refuse to prepare a write on a
   * replica.
   */
  <T> CompletableFuture<T> prepare(
      CallContext call, CallerConnection connection, StatementKind kind, TargetRead<T> work) {
    LeaseRequest request = kind.writes() ? writeRequest(call, false) : readRequest(call, false);
    return runOnTarget(call, connection, request, work);
  }

  private <T> CompletableFuture<T> runOnTarget(
      CallContext call, CallerConnection connection, LeaseRequest request, TargetRead<T> work) {
    Optional<CallerConnection.Transaction> open = connection.transaction();
    if (open.isPresent()) {
      return CompletableFuture.supplyAsync(
          () -> apply(call, connection, work, open.get().lease()), context.workers());
    }
    return targets.run(
        call.database(),
        request,
        lease -> {
          try {
            T result = apply(call, connection, work, lease);
            if (!lease.isResponseFresh()) {
              throw new StaleReadException();
            }
            return result;
          } finally {
            lease.release();
          }
        });
  }

  private <T> T apply(
      CallContext call, CallerConnection connection, TargetRead<T> work, Lease lease) {
    try {
      lease.connection().beginRequest(call.remaining(context.settings().statementTimeout()));
      return work.read(lease.connection());
    } catch (SQLException | RuntimeException e) {
      RequestProgress progress = new RequestProgress();
      progress.advanceTo(RequestStage.SENT_WITH_COMMIT);
      throw failure(call, connection, progress, lease, e);
    }
  }

  /** A read on a target connection. */
  interface TargetRead<T> {

    /** Runs the read. Blocks; called on a worker thread. */
    T read(TargetConnection connection) throws SQLException;
  }

  /** Returns whether a position, if known, satisfies what a session requires. */
  private static boolean meets(ReadRequirement requirement, Optional<LogPosition> position) {
    return position.isEmpty() || requirement.isSatisfiedBy(position.get());
  }
}
