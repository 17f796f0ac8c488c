package org.oleanderstep.standins.member.internal;

import io.netty.channel.Channel;
import java.sql.SQLException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.apache.calcite.avatica.NoSuchConnectionException;

/**
 * The open SQL connections of a member by their Avatica connection id.
 *
 * <p>A connection belongs to the TCP connection that carried its latest request, and is closed with
 * it. This relies on callers that keep one TCP connection for each SQL connection, as a proxy does;
 * with the stock driver, which shares TCP connections between SQL connections, it holds as long as
 * its pool keeps the TCP connection open.
 */
final class SqlSessions {

  private final ReplicationState state;
  private final Applier applier;
  private final int maxConnections;
  private final Semaphore connections;
  private final Semaphore slots;
  private final Duration connectDelay;
  private final Map<String, SqlSession> sessions = new ConcurrentHashMap<>();

  SqlSessions(
      ReplicationState state,
      Applier applier,
      int maxConnections,
      int slots,
      Duration connectDelay) {
    this.state = state;
    this.applier = applier;
    this.maxConnections = maxConnections;
    this.connections = new Semaphore(maxConnections);
    this.slots = new Semaphore(slots, true);
    this.connectDelay = connectDelay;
  }

  /** Opens a connection that belongs to a TCP connection. */
  void open(String id, Channel channel) throws SQLException {
    if (!connections.tryAcquire()) {
      throw new SQLException(
          "all " + maxConnections + " connections of this member are in use",
          SqlStates.TOO_MANY_CONNECTIONS);
    }
    SqlSession session;
    try {
      TimeUnit.NANOSECONDS.sleep(connectDelay.toNanos());
      long epoch = state.openSession();
      session =
          new SqlSession(state, applier.database(), epoch, slots, channel, connections::release);
    } catch (SQLException e) {
      connections.release();
      throw e;
    } catch (InterruptedException e) {
      connections.release();
      Thread.currentThread().interrupt();
      throw SqlStates.notServing("it is stopping");
    }
    SqlSession previous = sessions.putIfAbsent(id, session);
    if (previous != null) {
      session.close();
      throw new SQLException("a connection with the id " + id + " is already open", "08002");
    }
    closeIfAbandoned(id, session);
  }

  /**
   * Returns a connection and assigns it to the TCP connection of the current request.
   *
   * @throws NoSuchConnectionException if there is none with this id
   */
  SqlSession use(String id, Channel channel) {
    SqlSession session = sessions.get(id);
    if (session == null) {
      throw new NoSuchConnectionException(id);
    }
    if (session.channel() != channel) {
      session.setChannel(channel);
      closeIfAbandoned(id, session);
    }
    return session;
  }

  /** Covers a TCP connection that ended before the session was assigned to it. */
  private void closeIfAbandoned(String id, SqlSession session) {
    if (!session.channel().isActive()) {
      close(id);
    }
  }

  void close(String id) {
    SqlSession session = sessions.remove(id);
    if (session != null) {
      session.close();
    }
  }

  /** Closes all connections that belong to a TCP connection. */
  void closeAllOf(Channel channel) {
    sessions.forEach(
        (id, session) -> {
          if (session.channel() == channel) {
            close(id);
          }
        });
  }
}
