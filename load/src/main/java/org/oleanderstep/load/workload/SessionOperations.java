package org.oleanderstep.load.workload;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.random.RandomGenerator;
import org.apache.calcite.avatica.AvaticaClientRuntimeException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.client.RequestIds;
import org.oleanderstep.load.check.OrderCheck;
import org.oleanderstep.schema.v1.Operation;

/** The statements of one session on its JDBC connection. */
final class SessionOperations {

  private static final Logger LOGGER = LogManager.getLogger(SessionOperations.class);

  private final Connection connection;
  private final String counter;
  private final String organisation;

  SessionOperations(Connection connection, String counter, String organisation) {
    this.connection = connection;
    this.counter = counter;
    this.organisation = organisation;
  }

  /**
   * Runs one operation and fills in what it returned.
   *
   * @throws SQLException if a statement fails
   */
  void run(Operation.Builder operation, RandomGenerator random) throws SQLException {
    switch (operation.getType()) {
      case READ_COUNTER -> readCounter(operation, random);
      case READ_SUM ->
          read(
              operation,
              "SELECT CAST(? AS VARCHAR), SUM(balance) FROM account WHERE id >= CAST(? AS INT)",
              "0");
      case ADD_TO_COUNTER -> add(operation);
      case PLACE_ORDER -> order(operation);
      case TRANSFER -> transfer(random);
      default -> throw new IllegalStateException("no such operation: " + operation.getType());
    }
  }

  /** Inserts the session's counter with the value zero, once. */
  void createCounter() throws SQLException {
    try (RequestIds.Scope scope = RequestIds.use("create-" + counter)) {
      execute("INSERT INTO counter (id, number) VALUES (?, 0)", counter);
    }
  }

  private void readCounter(Operation.Builder operation, RandomGenerator random)
      throws SQLException {
    if (random.nextBoolean()) {
      read(
          operation,
          "SELECT CAST(? AS VARCHAR), COALESCE(MAX(number), 0) FROM counter WHERE id = ?",
          counter);
    } else {
      readWithLiterals(operation);
    }
  }

  /** Reads the counter by a statement whose text contains the token. */
  private void readWithLiterals(Operation.Builder operation) throws SQLException {
    String sql =
        "SELECT "
            + literal(operation.getSentToken())
            + ", COALESCE(MAX(number), 0) FROM counter WHERE id = "
            + literal(counter);
    try (Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery(sql)) {
      readAnswer(operation, rows);
    }
  }

  private static String literal(String text) {
    return "'" + text.replace("'", "''") + "'";
  }

  private static void readAnswer(Operation.Builder operation, ResultSet rows) throws SQLException {
    rows.next();
    operation.setReceivedToken(rows.getString(1));
    operation.setValue(rows.getLong(2));
  }

  private void read(Operation.Builder operation, String sql, String argument) throws SQLException {
    try (PreparedStatement statement = connection.prepareStatement(sql)) {
      statement.setString(1, operation.getSentToken());
      statement.setString(2, argument);
      try (ResultSet rows = statement.executeQuery()) {
        readAnswer(operation, rows);
      }
    }
  }

  private void add(Operation.Builder operation) throws SQLException {
    int rows = execute("UPDATE counter SET number = number + 1 WHERE id = ?", counter);
    if (rows != 1) {
      throw new SQLException("the counter " + counter + " has " + rows + " rows", "02000");
    }
    operation.setReceivedToken(operation.getSentToken());
  }

  private void order(Operation.Builder operation) throws SQLException {
    try (RequestIds.Scope scope = RequestIds.use(operation.getSubject())) {
      execute(
          "INSERT INTO board_order (entry, id, organisation, note) VALUES (RANDOM_UUID(), ?, ?, ?)",
          operation.getSubject(),
          organisation,
          OrderCheck.noteOf(operation.getSubject()));
      operation.setReceivedToken(operation.getSentToken());
    }
  }

  private int execute(String sql, String... arguments) throws SQLException {
    PreparedStatement statement = connection.prepareStatement(sql);
    try {
      for (int i = 0; i < arguments.length; i++) {
        statement.setString(i + 1, arguments[i]);
      }
      return statement.executeUpdate();
    } finally {
      closeQuietly(statement);
    }
  }

  // An error of the close says nothing about the update before it; it was once recorded as a
  // refusal
  // of an update that had succeeded.
  private static void closeQuietly(PreparedStatement statement) {
    try {
      statement.close();
    } catch (SQLException | AvaticaClientRuntimeException e) {
      LOGGER.debug("closing a statement failed", e);
    }
  }

  private void transfer(RandomGenerator random) throws SQLException {
    int from = random.nextInt(Tables.ACCOUNTS);
    int to = (from + 1 + random.nextInt(Tables.ACCOUNTS - 1)) % Tables.ACCOUNTS;
    connection.setAutoCommit(false);
    try {
      // Rows are changed in the order of their ids, so that transfers never wait in a circle.
      move(Math.min(from, to), from < to ? -1 : 1);
      move(Math.max(from, to), from < to ? 1 : -1);
      connection.commit();
    } catch (SQLException | AvaticaClientRuntimeException e) {
      rollback(e);
      throw e;
    } finally {
      connection.setAutoCommit(true);
    }
  }

  private void move(int account, int amount) throws SQLException {
    String sql = "UPDATE account SET balance = balance + ? WHERE id = ?";
    try (PreparedStatement statement = connection.prepareStatement(sql)) {
      statement.setInt(1, amount);
      statement.setInt(2, account);
      statement.executeUpdate();
    }
  }

  private void rollback(Exception cause) {
    try {
      connection.rollback();
    } catch (SQLException | AvaticaClientRuntimeException e) {
      cause.addSuppressed(e);
    }
  }
}
