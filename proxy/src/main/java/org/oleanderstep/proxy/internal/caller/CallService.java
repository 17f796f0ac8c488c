package org.oleanderstep.proxy.internal.caller;

import java.io.IOException;
import java.sql.Connection;
import java.sql.ParameterMetaData;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.apache.calcite.avatica.AvaticaParameter;
import org.apache.calcite.avatica.ConnectionPropertiesImpl;
import org.apache.calcite.avatica.Meta;
import org.apache.calcite.avatica.remote.Service;
import org.apache.calcite.avatica.remote.TypedValue;
import org.oleanderstep.core.idempotency.RetryBudget;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.core.position.SessionState;
import org.oleanderstep.core.position.SessionToken;
import org.oleanderstep.core.position.TransactionToken;
import org.oleanderstep.core.routing.StatementClassifier;
import org.oleanderstep.core.routing.StatementKind;
import org.oleanderstep.proxy.internal.target.ConnectionState;
import org.oleanderstep.proxy.internal.target.OutcomeException;
import org.oleanderstep.proxy.internal.target.ResultCursor;
import org.oleanderstep.proxy.internal.target.Targets;
import org.oleanderstep.proxy.internal.target.TrafficContext;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;
import org.oleanderstep.proxy.internal.traffic.TrafficEvent;

/**
 * Serves calls: authenticates the caller, restores session and connection, and runs the call.
 *
 * <p>Never blocks; calls to targets run on worker threads.
 */
public final class CallService {

  private static final int RETRY_PERCENT = 10;
  private static final int MAX_RETRY_CREDIT = 100;
  private static final Duration RETRY_CREDIT_WINDOW = Duration.ofSeconds(10);

  private final TrafficContext context;
  private final CallerConnections connections;
  private final StatementExecutor execution;
  private final MetadataCalls metadataCalls;
  private final Service.RpcMetadataResponse metadata;
  private final String serverName;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean refusesAll;

  /** Creates the service. */
  public CallService(TrafficContext context, Targets targets, InstantSource wallClock) {
    this.context = context;
    this.serverName = context.control().snapshot().vm().name();
    this.metadata = new Service.RpcMetadataResponse(serverName);
    this.connections =
        new CallerConnections(
            context.workers(),
            context.settings().idleTimeout(),
            2 * context.settings().maxConnections());
    this.execution =
        new StatementExecutor(
            context,
            targets,
            wallClock,
            new RetryBudget(
                RETRY_PERCENT, MAX_RETRY_CREDIT, RETRY_CREDIT_WINDOW, System::nanoTime));
    this.metadataCalls = new MetadataCalls(execution, metadata);
  }

  /**
   * Serves one call; the result never completes exceptionally.
   *
   * @param body the Avatica request
   */
  CompletableFuture<CallerResponse> serve(CallerCall call, byte[] body) {
    long start = System.nanoTime();
    inFlight.incrementAndGet();
    CallContext identified;
    CompletableFuture<Service.Response> result;
    try {
      identified = identify(call);
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(
          unidentifiedResponse(ErrorResponses.outcomeOf(e), body, start));
    }
    try {
      result = dispatch(identified, parse(body));
    } catch (RuntimeException e) {
      result = CompletableFuture.failedFuture(e);
    }
    return result.handle(
        (response, failure) ->
            failure == null
                ? successResponse(response, identified, start)
                : errorResponse(ErrorResponses.outcomeOf(failure), identified, start));
  }

  /**
   * Returns the response to a call that was refused before it was identified. Closing a statement
   * succeeds even while the proxy cannot serve: a driver would report a failed close as a failure
   * of the statement, which has run.
   */
  private CallerResponse unidentifiedResponse(Outcome outcome, byte[] body, long start) {
    if (!isProxyUnavailable(outcome) || !isCloseOfStatement(body)) {
      return errorResponse(outcome, null, start);
    }
    inFlight.decrementAndGet();
    Service.Response closed = new Service.CloseStatementResponse(metadata);
    return new CallerResponse(encode(closed), false, false, Optional.empty(), false);
  }

  private static boolean isProxyUnavailable(Outcome outcome) {
    return outcome instanceof Outcome.NotRun notRun
        && (notRun.reason() == NotRunReason.NOT_READY || notRun.reason() == NotRunReason.STOPPING);
  }

  private static boolean isCloseOfStatement(byte[] body) {
    try {
      return parse(body) instanceof Service.CloseStatementRequest;
    } catch (OutcomeException e) {
      return false;
    }
  }

  private CallerResponse successResponse(Service.Response response, CallContext call, long start) {
    inFlight.decrementAndGet();
    context
        .metrics()
        .recordOutcome(new Outcome.Served(), Duration.ofNanos(System.nanoTime() - start));
    return new CallerResponse(encode(response), false, false, token(call), isInTransaction(call));
  }

  private CallerResponse errorResponse(Outcome outcome, CallContext call, long start) {
    inFlight.decrementAndGet();
    context.metrics().recordOutcome(outcome, Duration.ofNanos(System.nanoTime() - start));
    return new CallerResponse(
        encode(ErrorResponses.of(outcome, serverName)),
        true,
        outcome instanceof Outcome.NotRun notRun && notRun.reason() == NotRunReason.KEY_REFUSED,
        call == null ? Optional.empty() : token(call),
        call != null && isInTransaction(call));
  }

  private static boolean isInTransaction(CallContext call) {
    return call.session().transaction().isPresent() && !call.isTransactionElsewhere();
  }

  private static byte[] encode(Service.Response response) {
    return StatementRun.encode(response);
  }

  private static Optional<String> token(CallContext call) {
    long generation =
        call.snapshot().configuration().map(current -> current.generation()).orElse(0L);
    return Optional.of(SessionToken.encode(call.session().withGeneration(generation)));
  }

  private CallContext identify(CallerCall call) {
    if (refusesAll) {
      throw OutcomeException.notRun(NotRunReason.STOPPING, "use another proxy");
    }
    ControlSnapshot snapshot = context.control().snapshot();
    CallerIdentity caller = Authenticator.identify(snapshot, call);
    SessionState session = call.sessionToken().map(this::decode).orElse(SessionState.EMPTY);
    long generation = snapshot.configuration().orElseThrow().generation();
    if (session.generation() > generation) {
      context.control().report(new TrafficEvent.GenerationSeen(session.generation()));
      throw OutcomeException.notRun(
          NotRunReason.NOT_READY,
          "the session has seen a newer configuration than this proxy; try again");
    }
    CallContext identified = new CallContext(call, caller, snapshot, session);
    if (call.unknownWrite()) {
      identified.recordUnknownWrite(snapshot);
    }
    return identified;
  }

  private SessionState decode(String token) {
    SessionToken.Decoded decoded = SessionToken.decode(token);
    if (decoded instanceof SessionToken.Decoded.Valid valid) {
      return valid.state();
    }
    throw OutcomeException.notRun(NotRunReason.BAD_REQUEST, "the session token is not valid");
  }

  private static Service.Request parse(byte[] body) {
    try {
      return Protocol.TRANSLATION.parseRequest(body);
    } catch (IOException | RuntimeException e) {
      throw OutcomeException.notRun(NotRunReason.BAD_REQUEST, "the call is not an Avatica request");
    }
  }

  private CompletableFuture<Service.Response> dispatch(CallContext call, Service.Request request) {
    CallerConnection.Id id =
        new CallerConnection.Id(
            call.database(), call.caller().organisation(), ConnectionIds.of(request));
    if (request instanceof Service.OpenConnectionRequest) {
      connections.open(id, call);
      return completed(new Service.OpenConnectionResponse(metadata));
    }
    if (request instanceof Service.CloseConnectionRequest) {
      Optional<CallerConnection> open = connections.remove(id);
      call.setSession(call.session().withoutTransaction());
      Service.Response response = new Service.CloseConnectionResponse(metadata);
      return open.isEmpty()
          ? completed(response)
          : connections.closeLater(open.get()).thenApply(none -> response);
    }
    CallerConnection connection = connections.get(id, call);
    if (call.call().properties().isPresent()) {
      // A client that sends properties uses a separate network connection for each JDBC connection.
      call.call().usedConnections().add(id);
    }
    return connection.runInOrder(() -> onConnection(call, connection, request), context.workers());
  }

  private static CompletableFuture<Service.Response> completed(Service.Response response) {
    return CompletableFuture.completedFuture(response);
  }

  private CompletableFuture<Service.Response> onConnection(
      CallContext call, CallerConnection connection, Service.Request request) {
    try {
      if (connection.isClosed()) {
        throw OutcomeException.notRun(
            NotRunReason.TRANSACTION_LOST, "the connection was closed before the call could run");
      }
      CompletableFuture<Void> adopted = adoptSession(call, connection, request);
      return adopted.isDone()
          ? run(call, connection, request)
          : adopted.thenCompose(none -> run(call, connection, request));
    } catch (CallerConnection.TooManyStatementsException e) {
      throw OutcomeException.notRun(NotRunReason.BAD_REQUEST, e.getMessage());
    }
  }

  /** Applies what the session did at other proxies since its last call at this proxy. */
  private CompletableFuture<Void> adoptSession(
      CallContext call, CallerConnection connection, Service.Request request) {
    Optional<TransactionToken> claimed = call.session().transaction();
    Optional<CallerConnection.Transaction> open = connection.transaction();
    boolean sameTransaction =
        open.isPresent()
            && claimed.filter(token -> isOpenHere(call, token, open.get())).isPresent();
    if (claimed.isPresent() && !sameTransaction) {
      call.setTransactionElsewhere();
    }
    // ConnectionSyncRequest compares the old properties with the new ones itself.
    if (!sameTransaction && !(request instanceof Service.ConnectionSyncRequest)) {
      call.call()
          .properties()
          .ifPresent(sent -> connection.setProperties(CallerConnection.fromProto(sent)));
    }
    if (open.isPresent() && !sameTransaction && call.call().sessionToken().isPresent()) {
      // The caller never received the response to the call that began this transaction.
      return CompletableFuture.runAsync(connection::rollBackTransaction, context.workers());
    }
    return CompletableFuture.completedFuture(null);
  }

  private static boolean isOpenHere(
      CallContext call, TransactionToken token, CallerConnection.Transaction open) {
    return token.vm().equals(call.snapshot().vm())
        && token.instance().equals(call.snapshot().instance())
        && token.number() == open.number();
  }

  private CompletableFuture<Service.Response> run(
      CallContext call, CallerConnection connection, Service.Request request) {
    if (request instanceof Service.CreateStatementRequest) {
      int id = connection.add(new CallerStatement(""));
      return completed(new Service.CreateStatementResponse(connection.id().id(), id, metadata));
    }
    if (request instanceof Service.CloseStatementRequest close) {
      return closeStatement(connection, close);
    }
    if (request instanceof Service.ConnectionSyncRequest sync) {
      return sync(call, connection, sync);
    }
    if (request instanceof Service.PrepareRequest prepare) {
      return prepare(call, connection, prepare);
    }
    if (request instanceof Service.FetchRequest fetch) {
      return fetch(call, connection, fetch);
    }
    if (request instanceof Service.CommitRequest || request instanceof Service.RollbackRequest) {
      checkTransactionMode(call, connection);
    }
    if (request instanceof Service.CommitRequest) {
      return execution.commit(call, connection, TransactionResponses.COMMITTED);
    }
    if (request instanceof Service.RollbackRequest) {
      return execution.rollback(call, connection, TransactionResponses.ROLLED_BACK);
    }
    if (request instanceof Service.SyncResultsRequest) {
      throw cursorNotOpen();
    }
    Optional<Service.Response> missing = unknownStatementResponse(call, connection, request);
    if (missing.isPresent()) {
      return completed(missing.get());
    }
    Optional<StatementRun> statement = statement(connection, request);
    if (statement.isPresent()) {
      return afterClosingCursor(
          statement.get(), () -> execution.execute(call, connection, statement.get()));
    }
    return metadataCalls.handle(call, connection, request);
  }

  /**
   * Rejects a commit or rollback in auto-commit mode. The driver sends a change of the commit mode
   * only when a statement is created or prepared. Statements prepared before that have run in
   * auto-commit mode, so a commit or rollback must fail rather than pretend that they ran in a
   * transaction.
   */
  private static void checkTransactionMode(CallContext call, CallerConnection connection) {
    if (connection.properties().autoCommit()
        && connection.transaction().isEmpty()
        && !connection.isTransactionLost()
        && !call.isTransactionElsewhere()) {
      throw new OutcomeException(
          new Outcome.Failed(
              "25P01",
              -1,
              "the connection is in auto-commit mode, so each statement has committed by itself;"
                  + " call getAutoCommit() after setAutoCommit(false) to make the driver send it"));
    }
  }

  /** Closes the open result of a statement before the statement runs again, as JDBC requires. */
  private CompletableFuture<Service.Response> afterClosingCursor(
      StatementRun run, Supplier<CompletableFuture<Service.Response>> next) {
    if (run.statement().cursor().isEmpty()) {
      return next.get();
    }
    return CompletableFuture.runAsync(run.statement()::closeCursor, context.workers())
        .thenCompose(none -> next.get());
  }

  private Optional<StatementRun> statement(CallerConnection connection, Service.Request request) {
    if (request instanceof Service.PrepareAndExecuteRequest plain) {
      return Optional.of(
          builder(connection, plain.statementId)
              .rows(plain.maxRowCount, frameRows(plain.maxRowsInFirstFrame))
              .plain(plain.sql));
    }
    if (request instanceof Service.ExecuteRequest prepared) {
      int id = prepared.statementHandle.id;
      return Optional.of(
          builder(connection, id)
              .rows(-1, frameRows(prepared.maxRowCount))
              .prepared(connection.findOrAdd(id).sql(), prepared.parameterValues));
    }
    if (request instanceof Service.PrepareAndExecuteBatchRequest batch) {
      return Optional.of(builder(connection, batch.statementId).plainBatch(batch.sqlCommands));
    }
    if (request instanceof Service.ExecuteBatchRequest batch) {
      String sql = connection.findOrAdd(batch.statementId).sql();
      List<List<TypedValue>> rows =
          batch.hasProtoUpdateBatches()
              ? StatementRun.rows(batch.getProtoUpdateBatches())
              : batch.parameterValues;
      return Optional.of(builder(connection, batch.statementId).preparedBatch(sql, rows));
    }
    return Optional.empty();
  }

  private StatementRun.Builder builder(CallerConnection connection, int statementId) {
    return new StatementRun.Builder(
        connection.id().id(), statementId, connection.findOrAdd(statementId), metadata);
  }

  private int frameRows(int requested) {
    int max = context.settings().maxRowsPerFrame();
    return requested <= 0 ? Math.min(max, 100) : Math.min(requested, max);
  }

  /**
   * Returns the response to the execution of a statement that was prepared at another proxy, unless
   * the call contains its text. This project's client then sends the call again with the text.
   */
  private Optional<Service.Response> unknownStatementResponse(
      CallContext call, CallerConnection connection, Service.Request request) {
    Optional<String> text = call.call().statementText();
    if (request instanceof Service.ExecuteRequest execute) {
      int id = execute.statementHandle.id;
      text.ifPresent(sent -> connection.findOrAdd(id).setSql(sent));
      return isPrepared(connection, id)
          ? Optional.empty()
          : Optional.of(new Service.ExecuteResponse(List.of(), true, metadata));
    }
    if (request instanceof Service.ExecuteBatchRequest batch) {
      text.ifPresent(sent -> connection.findOrAdd(batch.statementId).setSql(sent));
      return isPrepared(connection, batch.statementId)
          ? Optional.empty()
          : Optional.of(
              new Service.ExecuteBatchResponse(
                  batch.connectionId, batch.statementId, new long[0], true, metadata));
    }
    return Optional.empty();
  }

  private static boolean isPrepared(CallerConnection connection, int statementId) {
    return connection.find(statementId).filter(found -> !found.sql().isEmpty()).isPresent();
  }

  private CompletableFuture<Service.Response> closeStatement(
      CallerConnection connection, Service.CloseStatementRequest request) {
    Service.Response response = new Service.CloseStatementResponse(metadata);
    Optional<CallerStatement> statement = connection.remove(request.statementId);
    if (statement.isEmpty() || statement.get().cursor().isEmpty()) {
      return completed(response);
    }
    return CompletableFuture.supplyAsync(
        () -> {
          statement.get().closeCursor();
          return response;
        },
        context.workers());
  }

  private CompletableFuture<Service.Response> sync(
      CallContext call, CallerConnection connection, Service.ConnectionSyncRequest request) {
    ConnectionState before = connection.properties();
    ConnectionState after = merge(before, request.connProps);
    boolean inTransaction = !before.autoCommit() || call.isTransactionElsewhere();
    if (inTransaction && after.autoCommit()) {
      // JDBC commits the open transaction when auto-commit is turned on.
      return execution
          .commit(call, connection, TransactionResponses.COMMITTED)
          .thenApply(
              committed -> {
                connection.setProperties(after);
                return synced(after);
              });
    }
    connection.setProperties(after);
    return completed(synced(after));
  }

  private static ConnectionState merge(ConnectionState old, Meta.ConnectionProperties sent) {
    return new ConnectionState(
        sent.isAutoCommit() == null ? old.autoCommit() : sent.isAutoCommit(),
        sent.isReadOnly() == null ? old.readOnly() : sent.isReadOnly(),
        sent.getTransactionIsolation() == null ? old.isolation() : sent.getTransactionIsolation(),
        sent.getSchema() == null ? old.schema() : sent.getSchema(),
        sent.getCatalog() == null ? old.catalog() : sent.getCatalog());
  }

  private Service.Response synced(ConnectionState state) {
    return new Service.ConnectionSyncResponse(
        new ConnectionPropertiesImpl(
            state.autoCommit(),
            state.readOnly(),
            state.isolation() == 0 ? Connection.TRANSACTION_READ_COMMITTED : state.isolation(),
            state.catalog().isEmpty() ? null : state.catalog(),
            state.schema().isEmpty() ? null : state.schema()),
        metadata);
  }

  private CompletableFuture<Service.Response> prepare(
      CallContext call, CallerConnection connection, Service.PrepareRequest request) {
    if (request.sql.length() > context.settings().maxStatementBytes()) {
      throw OutcomeException.notRun(NotRunReason.BAD_REQUEST, "the statement is too long");
    }
    int id = connection.add(new CallerStatement(request.sql));
    return execution.prepare(
        call,
        connection,
        StatementClassifier.classify(request.sql),
        target -> {
          PreparedStatement jdbc = target.prepareCached(request.sql);
          return new Service.PrepareResponse(
              new Meta.StatementHandle(connection.id().id(), id, signature(jdbc, request.sql)),
              metadata);
        });
  }

  private static Meta.Signature signature(PreparedStatement jdbc, String sql) throws SQLException {
    Meta.StatementType type =
        StatementClassifier.classify(sql) == StatementKind.READ
            ? Meta.StatementType.SELECT
            : Meta.StatementType.IS_DML;
    return ResultCursor.signature(
        jdbc.getMetaData(), sql, parameters(jdbc.getParameterMetaData()), type);
  }

  private static List<AvaticaParameter> parameters(ParameterMetaData data) throws SQLException {
    List<AvaticaParameter> parameters = new ArrayList<>();
    for (int i = 1; i <= data.getParameterCount(); i++) {
      parameters.add(
          new AvaticaParameter(
              data.isSigned(i),
              data.getPrecision(i),
              data.getScale(i),
              data.getParameterType(i),
              data.getParameterTypeName(i),
              data.getParameterClassName(i),
              "?" + i));
    }
    return parameters;
  }

  private CompletableFuture<Service.Response> fetch(
      CallContext call, CallerConnection connection, Service.FetchRequest request) {
    CallerStatement statement =
        connection.find(request.statementId).orElseThrow(CallService::cursorNotOpen);
    CallerStatement.Cursor cursor = statement.cursor().orElseThrow(CallService::cursorNotOpen);
    if (cursor.rows().rowsRead() != request.offset) {
      throw cursorNotOpen();
    }
    return CompletableFuture.supplyAsync(
        () -> fetch(call, statement, cursor, request), context.workers());
  }

  private Service.Response fetch(
      CallContext call,
      CallerStatement statement,
      CallerStatement.Cursor cursor,
      Service.FetchRequest request) {
    try {
      cursor
          .lease()
          .connection()
          .beginRequest(call.remaining(context.settings().statementTimeout()));
      Meta.Frame frame = cursor.rows().nextFrame(frameRows(request.fetchMaxRowCount));
      if (frame.done) {
        statement.closeCursor();
      }
      return new Service.FetchResponse(frame, false, false, metadata);
    } catch (SQLException | RuntimeException e) {
      cursor.lease().connection().markBroken();
      statement.closeCursor();
      throw new OutcomeException(
          new Outcome.Failed(
              "08006", -1, "the connection to the member was lost while reading the result"));
    }
  }

  private static OutcomeException cursorNotOpen() {
    return new OutcomeException(
        new Outcome.Failed("24000", -1, "the result is not open on this proxy; run it again"));
  }

  /** Applies a snapshot: ends the transactions and cursors of withdrawn keys. */
  public void onSnapshot(ControlSnapshot snapshot) {
    snapshot.configuration().ifPresent(connections::onConfiguration);
  }

  /** Rolls back the transactions of a caller whose network connection has closed. */
  void onCallerDisconnected(Set<CallerConnection.Id> used) {
    used.forEach(connections::rollBackIfDisconnected);
  }

  /** Closes idle and abandoned connections; called about once a second. */
  public void sweep() {
    connections.sweep(System.nanoTime());
  }

  /** Rolls back open transactions between statements and refuses all further calls. */
  public void refuseAll() {
    refusesAll = true;
    connections.endTransactions();
  }

  /** Returns the number of calls without a response yet. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the number of open transactions of callers. */
  public int openTransactions() {
    return connections.openTransactions();
  }
}
