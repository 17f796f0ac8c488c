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

/** All JDBC connections of callers on this proxy. */
final class CallerConnections {

  // A caller that lost its network connection gets this long to come back to its transaction.
  private static final Duration FORSAKEN_LIMIT = Duration.ofSeconds(10);

  private final Map<CallerConnection.Id, CallerConnection> connections = new ConcurrentHashMap<>();
  private final Executor workers;
  private final Duration idleTimeout;
  private final int limit;

  CallerConnections(Executor workers, Duration idleTimeout, int limit) {
    this.workers = workers;
    this.idleTimeout = idleTimeout;
    this.limit = limit;
  }

  /** Opens a connection anew; what was open under its id is closed. */
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
      throw OutcomeException.notRun(NotRunReason.NO_CAPACITY, "too many connections are open");
    }
  }

  /**
   * Returns an open connection. One that was opened at another proxy is taken over if the client
   * sent its properties; without them a lost transaction could not be noticed.
   */
  CallerConnection get(CallerConnection.Id id, CallContext call) {
    CallerConnection known = connections.get(id);
    if (known == null) {
      known = takeOver(id, call);
    }
    known.use(call.caller(), call.call());
    return known;
  }

  private CallerConnection takeOver(CallerConnection.Id id, CallContext call) {
    if (call.call().properties().isEmpty()) {
      throw new OutcomeException(
          new Outcome.Failed(
              "08003", -1, "the connection is not open on this proxy; open it anew"));
    }
    checkLimit();
    CallerConnection created = new CallerConnection(id, call.caller(), call.call());
    created.setProperties(CallerConnection.fromProto(call.call().properties().get()));
    CallerConnection raced = connections.putIfAbsent(id, created);
    return raced == null ? created : raced;
  }

  Optional<CallerConnection> remove(CallerConnection.Id id) {
    return Optional.ofNullable(connections.remove(id));
  }

  /** Closes a connection after its running call. */
  CompletableFuture<Void> closeLater(CallerConnection connection) {
    return connection.inOrder(
        () -> CompletableFuture.runAsync(connection::close, workers), workers);
  }

  /** Closes connections that nobody uses any more; called about once a second. */
  void sweep(long now) {
    for (CallerConnection connection : connections.values()) {
      long idle = connection.idleNanos(now);
      boolean forsaken = idle > FORSAKEN_LIMIT.toNanos() && connection.isForsaken();
      if (idle > idleTimeout.toNanos() || (forsaken && connection.holdsTarget())) {
        end(connection);
      }
    }
  }

  /** Ends the transactions and cursors of keys that are not accepted any more. */
  void onConfiguration(Configuration configuration) {
    for (CallerConnection connection : connections.values()) {
      boolean refused =
          connection
              .caller()
              .key()
              .filter(key -> !Authenticator.stillAccepted(configuration, key))
              .isPresent();
      if (refused) {
        connection.abortTransaction();
        end(connection);
      }
    }
  }

  /** Rolls back what is open, between statements. */
  void endTransactions() {
    for (CallerConnection connection : connections.values()) {
      if (connection.transaction().isPresent()) {
        end(connection);
      }
    }
  }

  /** Rolls back the transaction of a connection after its running call, unless it is used again. */
  void dropTransaction(CallerConnection.Id id) {
    CallerConnection connection = connections.get(id);
    if (connection != null && connection.holdsTarget() && connection.isLastCallerGone()) {
      end(connection);
    }
  }

  private void end(CallerConnection connection) {
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
