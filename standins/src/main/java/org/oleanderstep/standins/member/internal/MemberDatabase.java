package org.oleanderstep.standins.member.internal;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantReadWriteLock;

/**
 * The H2 database of one incarnation of a member. {@link #apply}, {@link #enableWrites} and {@link
 * #close} are called by the thread that applies log entries.
 */
final class MemberDatabase implements AutoCloseable {

  private static final int LOCK_TIMEOUT_MILLIS = 1_000;

  /** An entry that meets a lock for longer than this causes a rebuild. */
  private static final int APPLIER_LOCK_TIMEOUT_MILLIS = 10_000;

  private static final String USER = "sa";

  private final String url;
  private final Connection applier;
  private final Map<String, TableShape> shapes = new HashMap<>();
  private final Map<String, PreparedStatement> statements = new HashMap<>();

  /**
   * Held exclusively while a definition is executed and added to the log, so that no change of the
   * new definition precedes it in the log; held shared while a transaction is added.
   */
  private final ReentrantReadWriteLock definitionLock = new ReentrantReadWriteLock(true);

  private MemberDatabase(String url, Connection applier) {
    this.url = url;
    this.applier = applier;
  }

  /** Creates an empty database that takes changes from the log only. */
  static MemberDatabase create(String incarnation) throws SQLException {
    String url =
        "jdbc:h2:mem:" + incarnation + ";DB_CLOSE_DELAY=-1;LOCK_TIMEOUT=" + LOCK_TIMEOUT_MILLIS;
    Connection applier = DriverManager.getConnection(url, USER, "");
    MemberDatabase database = new MemberDatabase(url, applier);
    database.execute("SET REFERENTIAL_INTEGRITY FALSE");
    database.execute("SET LOCK_TIMEOUT " + APPLIER_LOCK_TIMEOUT_MILLIS);
    applier.setAutoCommit(false);
    return database;
  }

  /** Opens a connection for a session, without automatic commits. */
  Connection connect() throws SQLException {
    Connection connection = DriverManager.getConnection(url, USER, "");
    connection.setAutoCommit(false);
    return connection;
  }

  ReentrantReadWriteLock definitionLock() {
    return definitionLock;
  }

  /** Applies a committed log entry as one transaction. */
  void apply(EntryCodec.Content content) throws SQLException {
    try {
      if (content instanceof EntryCodec.Definition definition) {
        execute(definition.sql());
        captureNewTables(applier);
        forgetShapes();
      } else if (content instanceof EntryCodec.Rows rows) {
        for (RowChange change : rows.changes()) {
          apply(change);
        }
      }
      applier.commit();
    } catch (SQLException e) {
      applier.rollback();
      throw e;
    }
  }

  private void apply(RowChange change) throws SQLException {
    TableShape shape = shape(change);
    String sql;
    List<Object> values;
    if (change.isInsert()) {
      sql = shape.insertSql();
      values = shape.insertValues(change);
    } else if (change.isDelete()) {
      sql = shape.deleteSql();
      values = shape.keyValues(change);
    } else {
      sql = shape.updateSql();
      values = shape.updateValues(change);
    }
    int count = update(sql, values);
    if (count != 1) {
      throw new SQLException(
          "a change of one row of " + change.table() + " in the log met " + count + " rows here");
    }
  }

  private TableShape shape(RowChange change) throws SQLException {
    String key = change.schema() + "." + change.table();
    TableShape shape = shapes.get(key);
    if (shape == null) {
      shape = TableShape.read(applier, change.schema(), change.table());
      shapes.put(key, shape);
    }
    return shape;
  }

  private int update(String sql, List<Object> values) throws SQLException {
    PreparedStatement statement = statements.get(sql);
    if (statement == null) {
      statement = applier.prepareStatement(sql);
      statements.put(sql, statement);
    }
    for (int i = 0; i < values.size(); i++) {
      statement.setObject(i + 1, values.get(i));
    }
    return statement.executeUpdate();
  }

  private void forgetShapes() throws SQLException {
    shapes.clear();
    for (PreparedStatement statement : statements.values()) {
      statement.close();
    }
    statements.clear();
  }

  private void execute(String sql) throws SQLException {
    try (Statement statement = applier.createStatement()) {
      statement.execute(sql);
    }
  }

  /**
   * Adds the row trigger to each table that lacks it.
   *
   * @throws SQLException with SQLSTATE 0A000 if a table has no primary key; that table is dropped
   */
  static void captureNewTables(Connection connection) throws SQLException {
    for (NewTable table : tablesWithoutCapture(connection)) {
      String name = TableShape.quote(table.schema()) + "." + TableShape.quote(table.name());
      try (Statement statement = connection.createStatement()) {
        if (!table.hasKey()) {
          statement.execute("DROP TABLE " + name);
          throw SqlStates.notSupported("tables without a primary key");
        }
        statement.execute(
            "CREATE TRIGGER "
                + TableShape.quote(table.schema())
                + "."
                + TableShape.quote("CAPTURE_" + table.name())
                + " AFTER INSERT, UPDATE, DELETE ON "
                + name
                + " FOR EACH ROW CALL '"
                + ChangeCapture.class.getName()
                + "'");
      }
    }
  }

  /** A table that lacks the row trigger. */
  private record NewTable(String schema, String name, boolean hasKey) {}

  private static List<NewTable> tablesWithoutCapture(Connection connection) throws SQLException {
    List<NewTable> tables = new ArrayList<>();
    try (Statement statement = connection.createStatement();
        ResultSet rows =
            statement.executeQuery(
                "SELECT T.TABLE_SCHEMA, T.TABLE_NAME, C.CONSTRAINT_NAME"
                    + " FROM INFORMATION_SCHEMA.TABLES T"
                    + " LEFT JOIN INFORMATION_SCHEMA.TRIGGERS G"
                    + " ON G.EVENT_OBJECT_SCHEMA = T.TABLE_SCHEMA"
                    + " AND G.EVENT_OBJECT_TABLE = T.TABLE_NAME"
                    + " LEFT JOIN INFORMATION_SCHEMA.TABLE_CONSTRAINTS C"
                    + " ON C.TABLE_SCHEMA = T.TABLE_SCHEMA AND C.TABLE_NAME = T.TABLE_NAME"
                    + " AND C.CONSTRAINT_TYPE = 'PRIMARY KEY'"
                    + " WHERE T.TABLE_TYPE = 'BASE TABLE'"
                    + " AND T.TABLE_SCHEMA <> 'INFORMATION_SCHEMA' AND G.TRIGGER_NAME IS NULL")) {
      while (rows.next()) {
        tables.add(new NewTable(rows.getString(1), rows.getString(2), rows.getString(3) != null));
      }
    }
    return tables;
  }

  /** A column whose values the database generates. */
  private record IdentityColumn(String schema, String table, String name) {}

  /**
   * Prepares the database of a new primary: switches foreign keys on, which replicas don't check
   * since cascaded changes are in the log, and continues identity columns after their highest
   * value, since replicas apply explicit values.
   */
  void enableWrites() throws SQLException {
    List<IdentityColumn> identities = new ArrayList<>();
    try (Statement statement = applier.createStatement();
        ResultSet rows =
            statement.executeQuery(
                "SELECT TABLE_SCHEMA, TABLE_NAME, COLUMN_NAME FROM INFORMATION_SCHEMA.COLUMNS"
                    + " WHERE IS_IDENTITY = 'YES' AND TABLE_SCHEMA <> 'INFORMATION_SCHEMA'")) {
      while (rows.next()) {
        identities.add(new IdentityColumn(rows.getString(1), rows.getString(2), rows.getString(3)));
      }
    }
    for (IdentityColumn column : identities) {
      String table = TableShape.quote(column.schema()) + "." + TableShape.quote(column.table());
      String name = TableShape.quote(column.name());
      long next;
      try (Statement statement = applier.createStatement();
          ResultSet rows =
              statement.executeQuery("SELECT COALESCE(MAX(" + name + "), 0) + 1 FROM " + table)) {
        rows.next();
        next = rows.getLong(1);
      }
      execute("ALTER TABLE " + table + " ALTER COLUMN " + name + " RESTART WITH " + next);
    }
    execute("SET REFERENTIAL_INTEGRITY TRUE");
    forgetShapes();
    applier.commit();
  }

  /** Discards the database with all its connections. */
  @Override
  public void close() throws SQLException {
    try (Statement statement = applier.createStatement()) {
      statement.execute("SHUTDOWN IMMEDIATELY");
    }
  }
}
