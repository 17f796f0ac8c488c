package org.oleanderstep.standins.member.internal;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.calcite.avatica.ConnectionPropertiesImpl;
import org.apache.calcite.avatica.Meta;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.h2.api.ErrorCode;

/**
 * One SQL connection. The H2 connection never commits by itself; automatic commits are done here,
 * since a commit has to pass through the log.
 */
final class SqlSession {

  private static final Logger logger = LogManager.getLogger(SqlSession.class);

  /** Well below what the control port takes in one message. */
  private static final int MAX_ENTRY_BYTES = 16 << 20;

  private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);

  /** Runs one statement of the session. */
  interface Execution<T> {
    T run() throws SQLException;
  }

  private final ReplicationState state;
  private final MemberDatabase database;
  private final Connection connection;
  private final long epoch;
  private final Semaphore slots;
  private final ReentrantLock lock = new ReentrantLock();
  private final ChangeBuffer changes = new ChangeBuffer();
  private final Map<Integer, SqlStatement> statements = new ConcurrentHashMap<>();
  private final AtomicInteger statementIds = new AtomicInteger();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Runnable onClose;

  private volatile Channel channel;
  private volatile Statement running;
  private boolean autoCommit = true;
  private boolean readOnly;
  private boolean failedTransaction;

  /** The commit whose outcome is unknown, or null. */
  private CommitTicket unsettled;

  SqlSession(
      ReplicationState state,
      MemberDatabase database,
      long epoch,
      Semaphore slots,
      Channel channel,
      Runnable onClose)
      throws SQLException {
    this.state = state;
    this.database = database;
    this.connection = database.connect();
    this.epoch = epoch;
    this.slots = slots;
    this.channel = channel;
    this.onClose = onClose;
  }

  Channel channel() {
    return channel;
  }

  void setChannel(Channel newChannel) {
    channel = newChannel;
  }

  Connection connection() {
    return connection;
  }

  // Statements

  SqlStatement createStatement() {
    SqlStatement statement = new SqlStatement(statementIds.incrementAndGet());
    statements.put(statement.id(), statement);
    return statement;
  }

  SqlStatement prepare(String sql) throws SQLException {
    SqlText text = SqlText.parse(sql);
    lock.lock();
    try {
      checkOpen();
      SqlStatement statement = createStatement();
      try {
        statement.prepare(text, prepareInDatabase(text));
      } catch (SQLException e) {
        statements.remove(statement.id());
        throw e;
      }
      return statement;
    } finally {
      lock.unlock();
    }
  }

  /** Gives an existing statement a new text. */
  void prepare(SqlStatement statement, String sql) throws SQLException {
    SqlText text = SqlText.parse(sql);
    lock.lock();
    try {
      checkOpen();
      statement.prepare(text, prepareInDatabase(text));
    } finally {
      lock.unlock();
    }
  }

  /** Definitions and ends of transactions are not prepared; they run as plain statements. */
  private PreparedStatement prepareInDatabase(SqlText text) throws SQLException {
    state.checkStatement(epoch, text.kind().writes());
    boolean prepared = text.kind() == SqlText.Kind.READ || text.kind() == SqlText.Kind.CHANGE;
    return prepared ? connection.prepareStatement(text.sql()) : null;
  }

  /** Returns a statement, or null if there is none with this id. */
  SqlStatement statement(int id) {
    return statements.get(id);
  }

  void closeStatement(int id) throws SQLException {
    lock.lock();
    try {
      SqlStatement statement = statements.remove(id);
      if (statement != null) {
        statement.close();
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Runs a statement, and commits it if automatic commits are on.
   *
   * @throws OutcomeUnknownException if the commit was neither acknowledged nor refused
   */
  <T> T execute(SqlStatement statement, Execution<T> execution, T resultOfCommand)
      throws SQLException {
    lock.lock();
    try {
      checkOpen();
      switch (statement.text().kind()) {
        case COMMIT -> commit();
        case ROLLBACK -> rollback();
        case DEFINITION -> define(statement.text());
        default -> {
          return executeInTransaction(statement, execution);
        }
      }
      return resultOfCommand;
    } finally {
      lock.unlock();
    }
  }

  /** Reads from the session outside a statement: further rows, or metadata. */
  <T> T fetch(Execution<T> execution) throws SQLException {
    lock.lock();
    try {
      checkOpen();
      state.checkStatement(epoch, false);
      return execution.run();
    } finally {
      lock.unlock();
    }
  }

  private <T> T executeInTransaction(SqlStatement statement, Execution<T> execution)
      throws SQLException {
    boolean writes = statement.text().kind().writes();
    checkAllowed(writes);
    int before = changes.size();
    T result;
    try {
      result = inSlot(statement.prepared(), writes, execution);
    } catch (SQLException e) {
      afterFailure(e, before);
      throw refusalIn(e);
    }
    if (autoCommit) {
      commit();
    }
    return result;
  }

  private void checkAllowed(boolean writes) throws SQLException {
    state.checkStatement(epoch, writes);
    if (writes && readOnly) {
      throw SqlStates.readOnly("the connection is read-only");
    }
    if (failedTransaction) {
      throw new SQLException(
          "the transaction was rolled back after a deadlock; roll it back before going on",
          SqlStates.FAILED_TRANSACTION);
    }
  }

  private <T> T inSlot(Statement statement, boolean writes, Execution<T> execution)
      throws SQLException {
    slots.acquireUninterruptibly();
    changes.setWritable(writes);
    ChangeCapture.bind(changes);
    running = statement;
    try {
      checkOpen();
      return execution.run();
    } finally {
      running = null;
      ChangeCapture.bind(null);
      slots.release();
    }
  }

  /** Drops the changes that the database rolled back: those of the statement, or all. */
  private void afterFailure(SQLException e, int changesBefore) throws SQLException {
    if (e.getErrorCode() == ErrorCode.DEADLOCK_1) {
      connection.rollback();
      changes.truncate(0);
      failedTransaction = !autoCommit;
    } else {
      changes.truncate(changesBefore);
    }
    if (autoCommit) {
      connection.rollback();
      changes.truncate(0);
    }
  }

  /** Returns the refusal that a trigger threw inside H2, or the exception itself. */
  private static SQLException refusalIn(SQLException e) {
    Throwable cause = e.getCause();
    while (cause != null) {
      if (cause instanceof SQLException inner && SqlStates.READ_ONLY.equals(inner.getSQLState())) {
        return inner;
      }
      cause = cause.getCause();
    }
    return e;
  }

  // Transactions

  void commit() throws SQLException {
    lock.lock();
    try {
      checkOpen();
      if (failedTransaction) {
        rollback();
        throw new SQLException(
            "the transaction was rolled back after a deadlock", SqlStates.FAILED_TRANSACTION);
      }
      if (changes.isEmpty()) {
        connection.commit();
        return;
      }
      await(propose());
    } finally {
      lock.unlock();
    }
  }

  private CommitTicket propose() throws SQLException {
    ByteString payload = EntryCodec.encode(new EntryCodec.Rows(changes.copy()));
    changes.truncate(0);
    if (payload.size() > MAX_ENTRY_BYTES) {
      connection.rollback();
      throw new SQLException(
          "the transaction changes more than " + MAX_ENTRY_BYTES + " bytes and was rolled back",
          SqlStates.LIMIT_EXCEEDED);
    }
    var shared = database.definitionLock().readLock();
    shared.lock();
    try {
      return state.propose(epoch, payload, connection::commit);
    } catch (SQLException e) {
      connection.rollback();
      throw e;
    } finally {
      shared.unlock();
    }
  }

  private void await(CommitTicket ticket) {
    if (!ticket.await(COMMIT_TIMEOUT)) {
      unsettled = ticket;
      throw new OutcomeUnknownException();
    }
  }

  void rollback() throws SQLException {
    lock.lock();
    try {
      checkOpen();
      changes.truncate(0);
      failedTransaction = false;
      connection.rollback();
    } finally {
      lock.unlock();
    }
  }

  /** Runs a definition, which ends an open transaction as in any JDBC connection of H2. */
  private void define(SqlText text) throws SQLException {
    checkAllowed(true);
    commit();
    CommitTicket ticket;
    var exclusive = database.definitionLock().writeLock();
    exclusive.lock();
    try (Statement statement = connection.createStatement()) {
      inSlot(statement, true, () -> executeDefinition(statement, text));
      EntryCodec.Definition definition = new EntryCodec.Definition(text.sql());
      ticket = state.proposeExecuted(epoch, EntryCodec.encode(definition));
    } finally {
      exclusive.unlock();
    }
    await(ticket);
  }

  private boolean executeDefinition(Statement statement, SqlText text) throws SQLException {
    statement.execute(text.sql());
    MemberDatabase.captureNewTables(connection);
    return true;
  }

  /** Takes over the properties that are set and returns all of them. */
  ConnectionPropertiesImpl synchronize(Meta.ConnectionProperties wanted) throws SQLException {
    lock.lock();
    try {
      checkOpen();
      if (wanted.isAutoCommit() != null && wanted.isAutoCommit() != autoCommit) {
        commit();
        autoCommit = wanted.isAutoCommit();
      }
      if (wanted.isReadOnly() != null) {
        readOnly = wanted.isReadOnly();
      }
      if (wanted.getTransactionIsolation() != null
          && wanted.getTransactionIsolation() != connection.getTransactionIsolation()) {
        connection.setTransactionIsolation(wanted.getTransactionIsolation());
      }
      if (wanted.getSchema() != null && !wanted.getSchema().equals(connection.getSchema())) {
        connection.setSchema(wanted.getSchema());
      }
      return new ConnectionPropertiesImpl(
          autoCommit,
          readOnly,
          connection.getTransactionIsolation(),
          connection.getCatalog(),
          connection.getSchema());
    } finally {
      lock.unlock();
    }
  }

  private void checkOpen() throws SQLException {
    if (closed.get()) {
      throw SqlStates.notServing("the connection is closed");
    }
  }

  /**
   * Rolls back and closes the connection. A running statement is cancelled first. A transaction
   * whose commit is under way is left to the log.
   */
  void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    cancelRunning();
    lock.lock();
    try {
      if (unsettled == null) {
        closeConnection();
      } else {
        unsettled.whenSettled(this::closeConnection);
      }
    } finally {
      lock.unlock();
      onClose.run();
    }
  }

  private void cancelRunning() {
    Statement statement = running;
    if (statement == null) {
      return;
    }
    try {
      statement.cancel();
    } catch (SQLException e) {
      logger.debug("the statement ended before it could be cancelled", e);
    }
  }

  private void closeConnection() {
    try {
      connection.rollback();
      connection.close();
    } catch (SQLException e) {
      logger.debug("the connection was closed with its database", e);
    }
  }
}
