package org.oleanderstep.proxy.internal.caller;

import java.security.SecureRandom;
import java.sql.SQLException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.apache.calcite.avatica.proto.Common;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.proxy.internal.target.ConnectionState;
import org.oleanderstep.proxy.internal.target.Lease;

/**
 * The state of a caller's JDBC connection on this proxy. Calls of one connection run one after the
 * other through {@link #inOrder}; the other methods belong to the call that runs.
 */
final class CallerConnection {

  private static final Duration ROLLBACK_LIMIT = Duration.ofSeconds(2);
  private static final int MAX_STATEMENTS = 1_000;
  private static final SecureRandom RANDOM = new SecureRandom();

  /**
   * Names a connection; callers of other organisations cannot reach it.
   *
   * @param id chosen by the caller's driver
   */
  record Id(DatabaseId database, OrganisationId organisation, String id) {}

  private final Id id;
  private final Map<Integer, CallerStatement> statements = new ConcurrentHashMap<>();
  private final Object orderLock = new Object();
  private CompletableFuture<?> last = CompletableFuture.completedFuture(null);
  private volatile CallerIdentity caller;
  private volatile CallerCall lastCall;
  private volatile long lastUsedNanos = System.nanoTime();
  private volatile Transaction transaction;
  private volatile boolean transactionLost;
  private volatile boolean closed;
  private ConnectionState properties = ConnectionState.DEFAULT;

  CallerConnection(Id id, CallerIdentity caller, CallerCall call) {
    this.id = id;
    this.caller = caller;
    this.lastCall = call;
  }

  Id id() {
    return id;
  }

  /** Runs a call when all earlier calls of the connection have ended. */
  <T> CompletableFuture<T> inOrder(Supplier<CompletableFuture<T>> call, Executor later) {
    synchronized (orderLock) {
      CompletableFuture<T> result;
      if (last.isDone()) {
        result = call.get();
      } else {
        result = last.handle((value, failure) -> null).thenComposeAsync(none -> call.get(), later);
      }
      last = result;
      return result;
    }
  }

  void use(CallerIdentity identity, CallerCall call) {
    caller = identity;
    lastCall = call;
    lastUsedNanos = System.nanoTime();
  }

  CallerIdentity caller() {
    return caller;
  }

  long idleNanos(long now) {
    return now - lastUsedNanos;
  }

  /** Returns whether no call runs and the network connection of the last one is closed. */
  boolean isForsaken() {
    synchronized (orderLock) {
      return last.isDone() && lastCall.callerGone().getAsBoolean();
    }
  }

  /** Returns whether the network connection of the last call is closed. */
  boolean isLastCallerGone() {
    return lastCall.callerGone().getAsBoolean();
  }

  ConnectionState properties() {
    return properties;
  }

  void setProperties(ConnectionState next) {
    properties = next;
  }

  /** Takes over the properties that a client sent for a connection opened elsewhere. */
  static ConnectionState fromProto(Common.ConnectionProperties sent) {
    return new ConnectionState(
        !sent.getHasAutoCommit() || sent.getAutoCommit(),
        sent.getHasReadOnly() && sent.getReadOnly(),
        sent.getTransactionIsolation(),
        sent.getSchema(),
        sent.getCatalog());
  }

  Optional<Transaction> transaction() {
    return Optional.ofNullable(transaction);
  }

  void setTransaction(Transaction open) {
    transaction = open;
  }

  /** Returns whether the caller's transaction ended without the caller's doing. */
  boolean isTransactionLost() {
    return transactionLost;
  }

  void setTransactionLost(boolean lost) {
    transactionLost = lost;
  }

  boolean isClosed() {
    return closed;
  }

  /** Adds a statement under an id that another proxy will hardly give out. */
  int add(CallerStatement statement) {
    if (statements.size() >= MAX_STATEMENTS) {
      throw new TooManyStatementsException();
    }
    int statementId = RANDOM.nextInt(Integer.MAX_VALUE);
    while (statements.containsKey(statementId)) {
      statementId = RANDOM.nextInt(Integer.MAX_VALUE);
    }
    statements.put(statementId, statement);
    return statementId;
  }

  /** Returns a statement, or adds one under an id that another proxy gave out. */
  CallerStatement statement(int statementId) {
    CallerStatement known = statements.get(statementId);
    if (known != null) {
      return known;
    }
    if (statements.size() >= MAX_STATEMENTS) {
      throw new TooManyStatementsException();
    }
    CallerStatement created = new CallerStatement("");
    statements.put(statementId, created);
    return created;
  }

  Optional<CallerStatement> find(int statementId) {
    return Optional.ofNullable(statements.get(statementId));
  }

  Optional<CallerStatement> remove(int statementId) {
    return Optional.ofNullable(statements.remove(statementId));
  }

  /** Returns whether anything holds a connection to a target. */
  boolean holdsTarget() {
    return transaction != null
        || statements.values().stream().anyMatch(statement -> statement.cursor().isPresent());
  }

  /** Returns whether a transaction has results that are not read to their end. */
  boolean hasOpenCursor() {
    return statements.values().stream().anyMatch(statement -> statement.cursor().isPresent());
  }

  /** Closes all cursors; runs on a worker. */
  void closeCursors() {
    statements.values().forEach(CallerStatement::closeCursor);
  }

  /** Rolls the open transaction back; runs on a worker. */
  void dropTransaction() {
    Transaction open = transaction;
    transaction = null;
    closeCursors();
    if (open != null) {
      open.rollBack();
    }
  }

  /** Ends everything that the connection holds; runs on a worker. */
  void close() {
    closed = true;
    dropTransaction();
    statements.clear();
  }

  /** Breaks a transaction's statement that runs now, from any thread. */
  void abortTransaction() {
    Transaction open = transaction;
    if (open != null) {
      transactionLost = true;
      open.lease().connection().abort();
    }
  }

  /**
   * An open transaction of the caller.
   *
   * @param number number within this process
   */
  record Transaction(Lease lease, long number, boolean readOnly) {

    /** Rolls back and gives the connection back; closing it instead rolls back as well. */
    void rollBack() {
      try {
        if (!lease.connection().isResponseLost()) {
          lease.connection().beginRequest(ROLLBACK_LIMIT);
          lease.connection().rollback();
        }
      } catch (SQLException | RuntimeException e) {
        lease.connection().markBroken();
      }
      lease.release();
    }
  }

  /** The caller has too many statements open. */
  static final class TooManyStatementsException extends RuntimeException {
    TooManyStatementsException() {
      super("more than " + MAX_STATEMENTS + " statements are open on one connection");
    }
  }
}
