package org.oleanderstep.gateway.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.GatewayConfiguration;
import org.oleanderstep.gateway.control.GatewayRoute;
import org.oleanderstep.gateway.control.RouteKind;
import org.oleanderstep.gateway.target.LeaseRequest;
import org.oleanderstep.gateway.target.ServicePool;

/**
 * The session of a caller: its variables, prepared statements, transaction and last commit.
 *
 * <pre>{@code
 * Session session = gateway.newSession(channel);
 * session.open(database, key);
 * session.execute(statement);
 * session.disconnected();
 * }</pre>
 *
 * <p>Statements are served one at a time, in the order of their arrival.
 *
 * <p>Not thread-safe; call only from the traffic thread.
 */
public final class Session {

  private static final int MAX_QUEUED_STATEMENTS = 64;
  private static final int MAX_NAMES = 128;

  /**
   * Time for the first statement after a caller has connected. A session that is closed sooner
   * loses a statement that is on its way.
   */
  private static final Duration FIRST_STATEMENT_WAIT = Duration.ofMillis(500);

  private static final String STOPPING = "the proxy is stopping; retry at another one";

  /** The organisation of callers without a key, on routes that allow it. */
  private static final OrganisationId ANONYMOUS = new OrganisationId("-");

  private record PreparedStatement(StatementEffect effect, String template) {}

  private final SessionEnvironment environment;
  private final CallerChannel channel;
  private final Map<String, String> variables = new LinkedHashMap<>();
  private final Map<String, PreparedStatement> prepared = new HashMap<>();
  private final Deque<Statement> queued = new ArrayDeque<>();
  private String database = "";
  private String key = "";
  private Optional<OrganisationId> organisation = Optional.empty();
  private SessionStatus status = SessionStatus.IDLE;
  private Optional<TransactionState> transaction = Optional.empty();
  private Optional<StatementTask> task = Optional.empty();
  private LogPosition lastCommit = LogPosition.START;
  private long stateCharacters;
  private boolean busy;
  private long startedAt;
  private String requestId = "";
  private long connectedAt;
  private boolean opened;
  private boolean used;
  private boolean closing;
  private boolean refusing;
  private boolean closed;

  /** Creates a session that has yet to be opened. */
  public Session(SessionEnvironment environment, CallerChannel channel) {
    this.environment = environment;
    this.channel = channel;
    connectedAt = now();
  }

  private long now() {
    return environment.clock().monotonicNanos();
  }

  /** Opens the session for a caller that has presented a key; the key may be empty. */
  public void open(String requestedDatabase, String presentedKey) {
    if (opened) {
      reject(FailureCode.MALFORMED, "the session is already open");
      return;
    }
    database = requestedDatabase;
    key = presentedKey;
    if (refusing) {
      reject(FailureCode.OVERLOADED, STOPPING);
      return;
    }
    GatewayConfiguration configuration = environment.configuration();
    GatewayRoute route = configuration.routes().get(database);
    if (route == null) {
      reject(FailureCode.UNKNOWN_DATABASE, "no route serves this database");
      return;
    }
    organisation = identify(configuration, route);
    if (organisation.isEmpty()) {
      reject(FailureCode.ACCESS_DENIED, "the key is unknown or withdrawn");
      return;
    }
    opened = true;
    connectedAt = now();
    channel.opened();
  }

  /** Refuses a message that is no statement, and closes the session. */
  public void refuse(FailureCode code, String text) {
    reject(code, text);
  }

  private void reject(FailureCode code, String text) {
    environment
        .log()
        .request("session_refused")
        .with("database", database)
        .with("configuration", environment.configuration().version())
        .with("code", code)
        .write();
    channel.refuse(code, text);
    closed = true;
  }

  private Optional<OrganisationId> identify(
      GatewayConfiguration configuration, GatewayRoute route) {
    OrganisationId known = configuration.organisations().get(key);
    if (known == null && route.allowsAnonymous()) {
      return Optional.of(ANONYMOUS);
    }
    return Optional.ofNullable(known);
  }

  /** Closes the session as soon as no transaction is open and no statement is pending. */
  public void closeWhenIdle() {
    closing = true;
    closeIfIdle();
  }

  /** Closes the session as soon as it is idle, if its route uses one of the given services. */
  public void closeWhenIdle(Set<String> services) {
    GatewayRoute route = environment.configuration().routes().get(database);
    if (route != null && services.contains(route.service()) && opened) {
      closeWhenIdle();
    }
  }

  /**
   * Refuses to open from now on, refuses statements that would need a member, and closes the
   * session as soon as it is idle. A transaction may still end.
   */
  public void refuseNewWork() {
    refusing = true;
    closeWhenIdle();
  }

  /** Answers every outstanding statement now, and closes the session. */
  public void end() {
    refusing = true;
    task.ifPresent(StatementTask::expire);
    if (!closed) {
      closed = true;
      channel.close();
    }
  }

  // A statement that arrived with the last one is still answered.
  private void closeIfIdle() {
    if (mayClose()) {
      channel.runAfterInput(this::closeIfStillIdle);
    }
  }

  private void closeIfStillIdle() {
    if (mayClose()) {
      closed = true;
      channel.close();
    }
  }

  private boolean mayClose() {
    return closing
        && !closed
        && !busy
        && queued.isEmpty()
        && queued.isEmpty()
        && status == SessionStatus.IDLE
        && !channel.isReceiving()
        && !expectsFirstStatement();
  }

  private boolean expectsFirstStatement() {
    return !used && !refusing && now() - connectedAt < FIRST_STATEMENT_WAIT.toNanos();
  }

  /** Ends the session because of a defect; statements without an answer get none. */
  public void terminate() {
    try {
      disconnected();
    } finally {
      // Otherwise the defect would show again at each tick.
      task = Optional.empty();
      status = SessionStatus.IDLE;
      channel.close();
    }
  }

  /** Rolls back the open transaction; its next statement fails. */
  public void abortTransaction() {
    if (!busy && status == SessionStatus.IN_TRANSACTION) {
      failTransaction();
    }
  }

  private void failTransaction() {
    endTransaction();
    status = SessionStatus.FAILED_TRANSACTION;
  }

  /** Serves a statement after all earlier ones. */
  public void execute(Statement statement) {
    if (closed) {
      return;
    }
    if (!opened) {
      reject(FailureCode.MALFORMED, "received a statement before the session was opened");
      return;
    }
    if (busy || !queued.isEmpty()) {
      queue(statement);
      return;
    }
    serve(statement);
  }

  private void queue(Statement statement) {
    if (queued.size() >= MAX_QUEUED_STATEMENTS) {
      closed = true;
      disconnected();
      channel.close();
      return;
    }
    queued.add(statement);
  }

  private void serve(Statement statement) {
    busy = true;
    used = true;
    startedAt = now();
    requestId = statement.id();
    dispatch(statement);
  }

  private void dispatch(Statement statement) {
    if (status == SessionStatus.FAILED_TRANSACTION) {
      serveInFailedTransaction(statement);
      return;
    }
    if (refusing && needsMember(statement.kind())) {
      refuseWhileStopping();
      return;
    }
    switch (statement.kind()) {
      case SET -> set(statement);
      case PREPARE -> prepare(statement);
      case DEALLOCATE -> deallocate(statement);
      case BEGIN, BEGIN_READ -> begin(statement);
      case COMMIT -> commit(statement);
      case ROLLBACK -> rollBack();
      case READ, WRITE, EXECUTE -> run(statement);
      case INVALID -> fail(FailureCode.MALFORMED, "the statement could not be parsed");
    }
  }

  private static boolean needsMember(StatementKind kind) {
    return switch (kind) {
      case BEGIN, BEGIN_READ, READ, WRITE, EXECUTE -> true;
      case SET, PREPARE, DEALLOCATE, COMMIT, ROLLBACK, INVALID -> false;
    };
  }

  private void refuseWhileStopping() {
    if (transaction.isPresent()) {
      failTransaction();
      fail(FailureCode.ABORTED, STOPPING);
    } else {
      fail(FailureCode.OVERLOADED, STOPPING);
    }
  }

  private void serveInFailedTransaction(Statement statement) {
    switch (statement.kind()) {
      case ROLLBACK -> rollBack();
      case COMMIT -> {
        endTransaction();
        fail(FailureCode.ABORTED, "the transaction failed earlier and was rolled back");
      }
      default ->
          fail(FailureCode.MALFORMED, "the transaction has failed; end it with ROLLBACK first");
    }
  }

  private void endTransaction() {
    transaction.ifPresent(TransactionState::rollBack);
    transaction = Optional.empty();
    status = SessionStatus.IDLE;
  }

  private void set(Statement statement) {
    if (statement.name().isEmpty() || variables.size() >= MAX_NAMES) {
      fail(
          FailureCode.MALFORMED, "the variable has no name, or the session has too many variables");
      return;
    }
    String previous = variables.put(statement.name(), statement.argument());
    keep(statement, previous);
    answer(Answer.DONE);
  }

  private void prepare(Statement statement) {
    if (statement.name().isEmpty() || prepared.size() >= MAX_NAMES) {
      fail(
          FailureCode.MALFORMED,
          "the statement has no name, or the session has too many prepared statements");
      return;
    }
    PreparedStatement previous =
        prepared.put(
            statement.name(), new PreparedStatement(statement.effect(), statement.argument()));
    keep(statement, previous == null ? null : previous.template);
    answer(Answer.DONE);
  }

  private void deallocate(Statement statement) {
    PreparedStatement removed = prepared.remove(statement.name());
    if (removed == null) {
      fail(FailureCode.UNKNOWN_STATEMENT, "no prepared statement has this name");
      return;
    }
    updateState(-(long) (statement.name().length() + removed.template.length()));
    answer(Answer.DONE);
  }

  /** Accounts for a name and its value, which replace the previous value, if there was one. */
  private void keep(Statement statement, String previous) {
    int added = statement.argument().length();
    updateState(previous == null ? statement.name().length() + added : added - previous.length());
  }

  private void updateState(long change) {
    stateCharacters += change;
    channel.stateChanged(stateCharacters);
  }

  private void begin(Statement statement) {
    if (transaction.isPresent()) {
      fail(FailureCode.MALFORMED, "a transaction is already open");
      return;
    }
    admit((route, service) -> beginAdmitted(statement, route, service));
  }

  private void beginAdmitted(Statement statement, GatewayRoute route, ServicePool service) {
    boolean readOnly = statement.kind() == StatementKind.BEGIN_READ;
    transaction =
        Optional.of(new TransactionState(route, service, readOnly, now() - startedAt, now()));
    status = SessionStatus.IN_TRANSACTION;
    answer(Answer.DONE);
  }

  /** Checks route, key and rate at the start of an operation; sends a failure if a check fails. */
  private void admit(BiConsumer<GatewayRoute, ServicePool> onAdmitted) {
    GatewayConfiguration configuration = environment.configuration();
    GatewayRoute route = configuration.routes().get(database);
    if (route == null) {
      fail(FailureCode.UNKNOWN_DATABASE, "the route has been removed");
      return;
    }
    if (!identify(configuration, route).equals(organisation)) {
      closing = true;
      fail(FailureCode.ACCESS_DENIED, "the key has been withdrawn");
      return;
    }
    Optional<ServicePool> service = environment.service(route.service());
    if (service.isEmpty()) {
      fail(FailureCode.OVERLOADED, "the route's service is not declared");
      return;
    }
    if (organisation.get().equals(ANONYMOUS)) {
      onAdmitted.accept(route, service.get());
      return;
    }
    StatementTask waiting =
        new AdmissionTask(
            environment,
            organisation.get(),
            route,
            requestId,
            () -> onAdmitted.accept(route, service.get()),
            () -> refuseOverRate(organisation.get()));
    task = Optional.of(waiting);
    waiting.start();
  }

  private void refuseOverRate(OrganisationId limited) {
    String share = environment.describeRate(limited);
    fail(FailureCode.OVERLOADED, "the organisation is over its rate here: " + share);
  }

  private void commit(Statement statement) {
    if (transaction.isEmpty()) {
      fail(FailureCode.MALFORMED, "no transaction is open");
      return;
    }
    runInTransaction(resolve(statement, StatementEffect.READ, Optional.empty()));
  }

  private void rollBack() {
    endTransaction();
    answer(Answer.DONE);
  }

  private ResolvedStatement resolve(
      Statement statement, StatementEffect effect, Optional<String> shape) {
    return new ResolvedStatement(statement, effect, shape, Map.copyOf(variables));
  }

  private void run(Statement statement) {
    ResolvedStatement resolved = resolve(statement, statement.effect(), Optional.empty());
    if (statement.kind() == StatementKind.EXECUTE) {
      PreparedStatement named = prepared.get(statement.name());
      if (named == null) {
        failStatement(FailureCode.UNKNOWN_STATEMENT, "no prepared statement has this name");
        return;
      }
      resolved = resolve(statement, named.effect(), Optional.of(named.template()));
    }
    if (transaction.isPresent()) {
      runInTransaction(resolved);
    } else {
      runOutsideTransaction(resolved);
    }
  }

  private void failStatement(FailureCode code, String text) {
    if (transaction.isPresent()) {
      status = SessionStatus.FAILED_TRANSACTION;
    }
    fail(code, text);
  }

  private void runOutsideTransaction(ResolvedStatement resolved) {
    admit((route, service) -> runAdmitted(resolved, route, service));
  }

  private void runAdmitted(ResolvedStatement resolved, GatewayRoute route, ServicePool service) {
    StatementTask created =
        new SingleStatementTask(
            environment,
            service,
            route,
            organisation.get(),
            resolved,
            requirement(route, resolved.writes()),
            now() - startedAt,
            (answer, position) -> onAnswered(resolved, answer, position));
    task = Optional.of(created);
    created.start();
  }

  private LeaseRequest.Requirement requirement(GatewayRoute route, boolean needsPrimary) {
    if (needsPrimary || !route.kind().readsReplicas()) {
      return LeaseRequest.Requirement.PRIMARY;
    }
    boolean readsOwnWrites = route.kind() == RouteKind.READ_YOUR_WRITES;
    return new LeaseRequest.Requirement(
        Optional.of(route.maxStaleness()), () -> readsOwnWrites ? lastCommit : LogPosition.START);
  }

  private void onAnswered(
      ResolvedStatement resolved, Answer answer, Optional<LogPosition> position) {
    if (resolved.writes() && answer instanceof Answer.Success) {
      position.ifPresent(this::recordCommit);
    }
    answer(answer);
  }

  private void recordCommit(LogPosition position) {
    lastCommit = LogPosition.max(lastCommit, position);
  }

  private void runInTransaction(ResolvedStatement resolved) {
    TransactionState open = transaction.get();
    if (!isKeyValid(open.route())) {
      closing = true;
      failTransaction();
      fail(FailureCode.ABORTED, "the key has been withdrawn");
      return;
    }
    StatementTask created =
        new TransactionStatementTask(
            environment,
            open,
            organisation.get(),
            resolved,
            requirement(open.route(), open.needsPrimary()),
            this::onTransactionResult);
    task = Optional.of(created);
    created.start();
  }

  private boolean isKeyValid(GatewayRoute route) {
    return identify(environment.configuration(), route).equals(organisation);
  }

  private void onTransactionResult(TransactionStatementTask.Result result) {
    status = result.status();
    if (status == SessionStatus.IDLE) {
      transaction = Optional.empty();
      if (result.answer() instanceof Answer.Success) {
        result.position().ifPresent(this::recordCommit);
      }
    }
    if (status == SessionStatus.FAILED_TRANSACTION) {
      // A failed transaction executes nothing more, so its connection can be released.
      transaction.ifPresent(TransactionState::rollBack);
    }
    transaction.ifPresent(open -> open.recordUse(now()));
    answer(result.answer());
  }

  private void fail(FailureCode code, String text) {
    answer(new Answer.Failure(code, text));
  }

  private void answer(Answer answer) {
    task = Optional.empty();
    busy = false;
    environment.metrics().recordAnswer(answer, now() - startedAt);
    if (closed) {
      return;
    }
    logRefusal(answer);
    channel.answer(answer, status);
    serveNext();
  }

  private void serveNext() {
    if (busy) {
      // Writing an answer may have resumed the session already.
      return;
    }
    if (queued.isEmpty()) {
      closeIfIdle();
    } else if (channel.acceptsAnswers()) {
      serve(queued.poll());
    }
  }

  /** Goes on with what has waited for the caller to read its answers. */
  public void resume() {
    if (!closed) {
      serveNext();
    }
  }

  /** Returns the organisation of the caller; empty until the session is open. */
  public Optional<OrganisationId> organisation() {
    return organisation;
  }

  private void logRefusal(Answer answer) {
    if (answer instanceof Answer.Failure failure) {
      environment
          .log()
          .request("refused")
          .with("request", requestId)
          .with("database", database)
          .with("organisation", organisation.map(OrganisationId::name).orElse("none"))
          .with("configuration", environment.configuration().version())
          .with("code", failure.code())
          .with("reason", failure.text())
          .write();
    }
  }

  /** Returns whether a statement is being served or a transaction is open. */
  public boolean isActive() {
    return task.isPresent() || status == SessionStatus.IN_TRANSACTION;
  }

  /** Ends statements that have timed out and transactions that have been idle for too long. */
  public void tick(long now) {
    task.ifPresent(t -> t.tick(now));
    long idleLimit = environment.configuration().transactionIdle().toNanos();
    boolean idle = !busy && status == SessionStatus.IN_TRANSACTION;
    if (idle && transaction.filter(t -> now - t.lastUsedAt() > idleLimit).isPresent()) {
      abortTransaction();
    }
  }

  /** Ends the session after the caller has disconnected. */
  public void disconnected() {
    closed = true;
    queued.clear();
    if (task.isPresent()) {
      task.get().abandon();
    } else {
      endTransaction();
    }
    task = Optional.empty();
  }
}
