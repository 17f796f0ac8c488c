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
 * The state of a caller's JDBC connection on this proxy. {@link #runInOrder} runs the calls of a
 * connection one at a time. Methods that change state are not thread-safe; use them only within
 * such a call, unless they say otherwise.
 */
final class CallerConnection {

  private static final Duration ROLLBACK_LIMIT = Duration.ofSeconds(2);
  private static final int MAX_STATEMENTS = 1_000;
  private static final SecureRandom RANDOM = new SecureRandom();

  /**
   * Identifies a connection. It includes the organisation, so that no other organisation can use
   * the connection.
   *
   * @param id connection id chosen by the caller's driver
   */
  record Id(DatabaseId database, OrganisationId organisation, String id) {}

  private final Id id;
  private final Map<Integer, CallerStatement> statements = new ConcurrentHashMap<>();
  private final Object orderLock = new Object();
  private CompletableFuture<?> lastResult = CompletableFuture.completedFuture(null);
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

  /** Runs a call when all earlier calls of the connection have ended. Thread-safe. */
  <T> CompletableFuture<T> runInOrder(Supplier<CompletableFuture<T>> call, Executor executor) {
    synchronized (orderLock) {
      CompletableFuture<T> result;
      if (lastResult.isDone()) {
        result = call.get();
      } else {
        result =
            lastResult
                .handle((value, failure) -> null)
                .thenComposeAsync(none -> call.get(), executor);
      }
      lastResult = result;
      return result;
    }
  }

  void recordUse(CallerIdentity identity, CallerCall call) {
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

  /** Returns whether no call is running and the network connection of the last call is closed. */
  boolean isAbandoned() {
    synchronized (orderLock) {
      return lastResult.isDone() && lastCall.callerDisconnected().getAsBoolean();
    }
  }

  /** Returns whether the network connection of the last call is closed. */
  boolean isCallerDisconnected() {
    return lastCall.callerDisconnected().getAsBoolean();
  }

  ConnectionState properties() {
    return properties;
  }

  void setProperties(ConnectionState next) {
    properties = next;
  }

  /** Converts the properties that a client sent for a connection opened at another proxy. */
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

  /** Returns whether the transaction ended without a commit or rollback by the caller. */
  boolean isTransactionLost() {
    return transactionLost;
  }

  void setTransactionLost(boolean lost) {
    transactionLost = lost;
  }

  boolean isClosed() {
    return closed;
  }

  /**
   * Adds a statement under a random id, so that it is unlikely to equal an id from another proxy.
   */
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

  /** Returns the statement with an id, or adds it if the id was assigned by another proxy. */
  CallerStatement findOrAdd(int statementId) {
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

  /** Returns whether a transaction or an open result holds a connection to a target. */
  boolean holdsTargetConnection() {
    return transaction != null
        || statements.values().stream().anyMatch(statement -> statement.cursor().isPresent());
  }

  /** Returns whether any statement has a result that the caller has not read completely. */
  boolean hasOpenCursor() {
    return statements.values().stream().anyMatch(statement -> statement.cursor().isPresent());
  }

  /** Closes all cursors. Blocks; call only on a worker thread. */
  void closeCursors() {
    statements.values().forEach(CallerStatement::closeCursor);
  }

  /** Rolls back the open transaction, if any. Blocks; call only on a worker thread. */
  void rollBackTransaction() {
    Transaction open = transaction;
    transaction = null;
    closeCursors();
    if (open != null) {
      open.rollBack();
    }
  }

  /**
   * Rolls back the open transaction and closes all statements. Blocks; call only on a worker
   * thread.
   */
  void close() {
    closed = true;
    rollBackTransaction();
    statements.clear();
  }

  /** Aborts the open transaction, including a statement that is running. Thread-safe. */
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
   * @param number sequence number within this process
   */
  record Transaction(Lease lease, long number, boolean readOnly) {

    /**
     * Rolls back and releases the connection. If the rollback fails, the connection is closed,
     * which makes the target roll back.
     */
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

  /** Thrown when a connection has too many open statements. */
  static final class TooManyStatementsException extends RuntimeException {
    TooManyStatementsException() {
      super(
          "more than "
              + MAX_STATEMENTS
              + " statements are open on one connection; close unused ones");
    }
  }
}
