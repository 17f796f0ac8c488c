package org.oleanderstep.proxy.internal.caller;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.proxy.internal.target.OutcomeException;

/** Registry of the JDBC connections of callers on this proxy. Thread-safe. */
final class CallerConnections {

  // How long a caller without a network connection may take to reconnect to its transaction.
  private static final Duration RECONNECT_TIMEOUT = Duration.ofSeconds(10);

  private final Map<CallerConnection.Id, CallerConnection> connections = new ConcurrentHashMap<>();
  private final Executor workers;
  private final Duration idleTimeout;
  private final int limit;

  CallerConnections(Executor workers, Duration idleTimeout, int limit) {
    this.workers = workers;
    this.idleTimeout = idleTimeout;
    this.limit = limit;
  }

  /** Opens a connection; one that is already open under the same id is closed. */
  CallerConnection open(CallerConnection.Id id, CallContext call) {
    checkLimit();
    CallerConnection created = new CallerConnection(id, call.caller(), call.call());
    CallerConnection old = connections.put(id, created);
    if (old != null) {
      var unused = closeLater(old);
    }
    return created;
  }

  private void checkLimit() {
    if (connections.size() >= limit) {
      throw OutcomeException.notRun(
          NotRunReason.NO_CAPACITY, "too many JDBC connections are open on this proxy");
    }
  }

  /**
   * Returns an open connection. A connection that was opened at another proxy is recreated if the
   * client sent its properties; without them a lost transaction could not be detected.
   */
  CallerConnection get(CallerConnection.Id id, CallContext call) {
    CallerConnection known = connections.get(id);
    if (known == null) {
      known = takeOver(id, call);
    }
    known.recordUse(call.caller(), call.call());
    return known;
  }

  private CallerConnection takeOver(CallerConnection.Id id, CallContext call) {
    if (call.call().properties().isEmpty()) {
      throw new OutcomeException(
          new Outcome.Failed(
              "08003", -1, "the connection is not open on this proxy; open a new one"));
    }
    checkLimit();
    CallerConnection created = new CallerConnection(id, call.caller(), call.call());
    created.setProperties(CallerConnection.fromProto(call.call().properties().get()));
    CallerConnection existing = connections.putIfAbsent(id, created);
    return existing == null ? created : existing;
  }

  Optional<CallerConnection> remove(CallerConnection.Id id) {
    return Optional.ofNullable(connections.remove(id));
  }

  /** Closes a connection when its running call has ended. */
  CompletableFuture<Void> closeLater(CallerConnection connection) {
    return connection.runInOrder(
        () -> CompletableFuture.runAsync(connection::close, workers), workers);
  }

  /** Closes idle and abandoned connections; called about once a second. */
  void sweep(long now) {
    for (CallerConnection connection : connections.values()) {
      long idle = connection.idleNanos(now);
      boolean abandoned = idle > RECONNECT_TIMEOUT.toNanos() && connection.isAbandoned();
      if (idle > idleTimeout.toNanos() || (abandoned && connection.holdsTargetConnection())) {
        removeAndClose(connection);
      }
    }
  }

  /** Ends the transactions and cursors of connections whose key is no longer valid. */
  void onConfiguration(Configuration configuration) {
    for (CallerConnection connection : connections.values()) {
      boolean keyWithdrawn =
          connection
              .caller()
              .key()
              .filter(key -> !Authenticator.isStillAccepted(configuration, key))
              .isPresent();
      if (keyWithdrawn) {
        connection.abortTransaction();
        removeAndClose(connection);
      }
    }
  }

  /** Rolls back all open transactions, each after its running statement. */
  void endTransactions() {
    for (CallerConnection connection : connections.values()) {
      if (connection.transaction().isPresent()) {
        removeAndClose(connection);
      }
    }
  }

  /**
   * Closes a connection after its running call if it holds a target connection and its caller has
   * not reconnected.
   */
  void rollBackIfDisconnected(CallerConnection.Id id) {
    CallerConnection connection = connections.get(id);
    if (connection != null
        && connection.holdsTargetConnection()
        && connection.isCallerDisconnected()) {
      removeAndClose(connection);
    }
  }

  private void removeAndClose(CallerConnection connection) {
    connections.remove(connection.id(), connection);
    closeLater(connection)
        .exceptionally(
            failure -> {
              connection.abortTransaction();
              return null;
            });
  }

  int openTransactions() {
    return (int)
        connections.values().stream().filter(item -> item.transaction().isPresent()).count();
  }

  int size() {
    return connections.size();
  }
}
