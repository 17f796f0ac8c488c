package org.oleanderstep.load.workload;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.load.fleet.CallerKey;
import org.oleanderstep.load.history.Recorder;
import org.oleanderstep.schema.v1.Operation;

/**
 * One caller: runs operations one after another at times drawn beforehand (open loop), so that a
 * slow answer delays the start of later operations but not their intended start.
 */
final class Session implements Runnable {

  private static final Logger LOGGER = LogManager.getLogger(Session.class);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int ORDER_ATTEMPTS = 4;
  private static final long REOPEN_PAUSE_NS = 50_000_000;

  private final String name;
  private final String database;
  private final CallerKey key;
  private final CallerConnections connections;
  private final OperationMix mix;
  private final double operationsPerSecond;
  private final Recorder recorder;
  private final RandomGenerator random;
  private final int firstProxy;
  private final long endNs;
  private Connection connection;
  private SessionOperations operations;

  /** The fixed attributes of a session. */
  record Identity(String name, String database, CallerKey key, int firstProxy) {}

  Session(
      Identity identity,
      CallerConnections connections,
      OperationMix mix,
      double operationsPerSecond,
      Recorder recorder,
      RandomGenerator random,
      long endNs) {
    this.name = identity.name();
    this.database = identity.database();
    this.key = identity.key();
    this.firstProxy = identity.firstProxy();
    this.connections = connections;
    this.mix = mix;
    this.operationsPerSecond = operationsPerSecond;
    this.recorder = recorder;
    this.random = random;
    this.endNs = endNs;
  }

  /**
   * Opens the session and creates its counter.
   *
   * @throws SQLException if that fails
   */
  void open() throws SQLException {
    connection = connections.open(database, key, firstProxy);
    operations = new SessionOperations(connection, name, key.organisation());
    operations.createCounter();
  }

  @Override
  public void run() {
    long intended = recorder.now() + gap();
    while (intended < endNs && !Thread.currentThread().isInterrupted()) {
      sleepUntil(intended);
      runOne(intended);
      intended += gap();
    }
    close();
  }

  private long gap() {
    return (long) (-Math.log(1 - random.nextDouble()) / operationsPerSecond * NANOS_PER_SECOND);
  }

  private void sleepUntil(long time) {
    long left = time - recorder.now();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = time - recorder.now();
    }
  }

  private void runOne(long intended) {
    Operation.Type type = mix.next(random);
    if (type != Operation.Type.PLACE_ORDER) {
      attempt(type, name, intended);
      return;
    }
    // The caller of an order that has no clear answer sends it again under the same id.
    String order = name + "-" + recorder.nextId();
    Operation.Result result = attempt(type, order, intended);
    for (int i = 1; i < ORDER_ATTEMPTS && result == Operation.Result.UNKNOWN; i++) {
      result = attempt(type, order, intended);
    }
  }

  private Operation.Result attempt(Operation.Type type, String subject, long intended) {
    long id = recorder.nextId();
    Operation.Builder operation = describe(id, type, subject, intended);
    try {
      reopenIfClosed();
      operations.run(operation, random);
      operation.setResult(Operation.Result.SERVED);
    } catch (SQLException e) {
      operation.setResult(SqlResults.of(e));
      operation.setSqlState(e.getSQLState() == null ? "" : e.getSQLState());
      operation.setDetail(String.valueOf(e.getMessage()));
    }
    Operation finished = operation.setEndNs(recorder.now()).build();
    recorder.add(finished);
    return finished.getResult();
  }

  private Operation.Builder describe(long id, Operation.Type type, String subject, long intended) {
    int slash = database.indexOf('/');
    return Operation.newBuilder()
        .setId(id)
        .setSession(name)
        .setOrganisation(key.organisation())
        .setService(database.substring(0, slash))
        .setDatabase(database.substring(slash + 1))
        .setType(type)
        .setSubject(subject)
        .setIntendedStartNs(intended)
        .setStartNs(recorder.now())
        .setSentToken(type == Operation.Type.TRANSFER ? "" : "token-" + id);
  }

  private void reopenIfClosed() throws SQLException {
    if (!connection.isClosed()) {
      return;
    }
    LockSupport.parkNanos(REOPEN_PAUSE_NS);
    connection = connections.open(database, key, firstProxy);
    operations = new SessionOperations(connection, name, key.organisation());
  }

  private void close() {
    try {
      connection.close();
    } catch (SQLException e) {
      LOGGER.debug("closing the session {} failed", name, e);
    }
  }
}
