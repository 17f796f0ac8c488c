package org.oleanderstep.gateway.session;

import org.oleanderstep.gateway.control.GatewayRoute;
import org.oleanderstep.gateway.target.PooledConnection;
import org.oleanderstep.gateway.target.ReplyHandler;
import org.oleanderstep.gateway.target.ServicePool;
import org.oleanderstep.gateway.target.TargetCommand;
import org.oleanderstep.gateway.target.TargetReply;

/**
 * The open transaction of a session. It leases a connection only with its first statement, so that
 * a caller that pauses before that holds none.
 */
final class TransactionState {

  private final GatewayRoute route;
  private final ServicePool service;
  private final boolean readOnly;
  private PooledConnection connection;
  private boolean confirmsPrimary;
  private long lastUsedAt;
  private long tokenWaitNanos;

  /**
   * Creates the state of a transaction that has its token.
   *
   * @param tokenWaitNanos how long it waited for the token
   */
  TransactionState(
      GatewayRoute route, ServicePool service, boolean readOnly, long tokenWaitNanos, long now) {
    this.route = route;
    this.service = service;
    this.readOnly = readOnly;
    this.tokenWaitNanos = tokenWaitNanos;
    lastUsedAt = now;
  }

  GatewayRoute route() {
    return route;
  }

  ServicePool service() {
    return service;
  }

  /** Returns the wait for the token once, for the first statement; zero for later ones. */
  long takeTokenWait() {
    long wait = tokenWaitNanos;
    tokenWaitNanos = 0;
    return wait;
  }

  /** Returns whether only the primary may serve this transaction. */
  boolean needsPrimary() {
    return !readOnly || !route.kind().readsReplicas();
  }

  boolean hasConnection() {
    return connection != null;
  }

  PooledConnection connection() {
    return connection;
  }

  /**
   * Records that the member has begun the transaction.
   *
   * @param refusedByFormerPrimary whether the member refuses the statements of this transaction
   *     once it is no longer the primary, so that their success confirms that it still is
   */
  void onBegun(PooledConnection held, boolean refusedByFormerPrimary) {
    connection = held;
    confirmsPrimary = refusedByFormerPrimary;
  }

  boolean confirmsPrimary() {
    return confirmsPrimary;
  }

  long lastUsedAt() {
    return lastUsedAt;
  }

  void recordUse(long now) {
    lastUsedAt = now;
  }

  /** Rolls back the transaction at the member and releases the connection afterwards. */
  void rollBack() {
    if (connection == null || !connection.isOpen()) {
      return;
    }
    PooledConnection held = connection;
    held.send(
        new TargetCommand.Rollback(),
        false,
        new ReplyHandler() {
          @Override
          public void replied(TargetReply reply) {
            service.release(held);
          }

          @Override
          public void lost(String reason) {}
        });
    held.flush();
    connection = null;
  }

  /** Releases the connection after the member has ended the transaction. */
  void release() {
    if (connection != null) {
      service.release(connection);
      connection = null;
    }
  }
}
