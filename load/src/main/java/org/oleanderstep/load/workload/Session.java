package org.oleanderstep.load.workload;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import org.apache.calcite.avatica.AvaticaClientRuntimeException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.client.RequestIds;
import org.oleanderstep.load.fleet.CallerKey;
import org.oleanderstep.load.history.Recorder;
import org.oleanderstep.schema.v1.Operation;
import org.oleanderstep.standins.AnyText;

/**
 * One caller: runs operations one after another at times drawn beforehand (open loop), so that a
 * slow answer delays the start of later operations but not their intended start.
 */
final class Session implements Runnable {

  private static final Logger LOGGER = LogManager.getLogger(Session.class);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int ORDER_ATTEMPTS = 4;
  // Digits of the longest operation id, and two separators.
  private static final int MAX_NUMBER_LENGTH = 21;
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
  private long endNs;
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
      RandomGenerator random) {
    this.name = identity.name();
    this.database = identity.database();
    this.key = identity.key();
    this.firstProxy = identity.firstProxy();
    this.connections = connections;
    this.mix = mix;
    this.operationsPerSecond = operationsPerSecond;
    this.recorder = recorder;
    this.random = random;
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

  /** Sets the time of the run after which no operation starts; to be called before the start. */
  void setEnd(long endNs) {
    this.endNs = endNs;
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
    String order = name + "-" + recorder.nextId() + anyIdEnd();
    Operation.Result result = attempt(type, order, intended);
    for (int i = 1; i < ORDER_ATTEMPTS && result == Operation.Result.UNKNOWN; i++) {
      result = attempt(type, order, intended);
    }
  }

  /** Draws visible ASCII characters, so that ids have up to the longest length that is promised. */
  private String anyIdEnd() {
    int left = RequestIds.MAX_LENGTH - name.length() - MAX_NUMBER_LENGTH;
    return AnyText.drawVisibleAscii(random, random.nextInt(left));
  }

  private Operation.Result attempt(Operation.Type type, String subject, long intended) {
    long id = recorder.nextId();
    Operation.Builder operation = describe(id, type, subject, intended);
    try {
      reopenIfClosed();
      operations.run(operation, random);
      operation.setResult(Operation.Result.SERVED);
    } catch (SQLException | AvaticaClientRuntimeException e) {
      SqlResults.describe(e, operation);
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
        .setSentToken(
            type == Operation.Type.TRANSFER ? "" : "token-" + id + "-" + AnyText.draw(random));
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
