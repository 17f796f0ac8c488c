package org.oleanderstep.load.workload;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.load.check.FinalState;

/** Tables that the load works on, in each database. */
public final class Tables {

  /** Number of accounts between which transfers move money. */
  public static final int ACCOUNTS = 64;

  /** Sum over all accounts. */
  public static final long TOTAL = 1_000L * ACCOUNTS;

  private Tables() {}

  /**
   * Creates and fills the tables; may be repeated after a failure.
   *
   * @throws SQLException if a statement fails
   */
  public static void create(Connection connection) throws SQLException {
    try (Statement statement = connection.createStatement()) {
      statement.executeUpdate(
          "CREATE TABLE IF NOT EXISTS board_order (entry UUID PRIMARY KEY, id VARCHAR(128), organisation VARCHAR(80), note VARCHAR(20000))");
      statement.executeUpdate(
          "CREATE TABLE IF NOT EXISTS counter (id VARCHAR(80) PRIMARY KEY, number BIGINT)");
      statement.executeUpdate(
          "CREATE TABLE IF NOT EXISTS account (id INT PRIMARY KEY, balance BIGINT)");
    }
    String insert = "MERGE INTO account (id, balance) VALUES (?, ?)";
    try (PreparedStatement account = connection.prepareStatement(insert)) {
      for (int i = 0; i < ACCOUNTS; i++) {
        account.setInt(1, i);
        account.setLong(2, TOTAL / ACCOUNTS);
        account.addBatch();
      }
      account.executeBatch();
    }
  }

  /**
   * Reads what a member holds after the run.
   *
   * @throws SQLException if a statement fails
   */
  public static FinalState read(Connection connection) throws SQLException {
    Map<String, Integer> orders = new HashMap<>();
    Map<String, String> notes = new HashMap<>();
    Map<String, Long> counters = new HashMap<>();
    long total;
    try (Statement statement = connection.createStatement()) {
      try (ResultSet rows =
          statement.executeQuery("SELECT id, COUNT(*), MAX(note) FROM board_order GROUP BY id")) {
        while (rows.next()) {
          orders.put(rows.getString(1), rows.getInt(2));
          notes.put(rows.getString(1), rows.getString(3));
        }
      }
      try (ResultSet rows = statement.executeQuery("SELECT id, number FROM counter")) {
        while (rows.next()) {
          counters.put(rows.getString(1), rows.getLong(2));
        }
      }
      try (ResultSet rows = statement.executeQuery("SELECT SUM(balance) FROM account")) {
        rows.next();
        total = rows.getLong(1);
      }
    }
    return new FinalState(orders, notes, counters, total);
  }
}
