package org.oleanderstep.proxy.internal.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.Date;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.sql.Timestamp;
import java.sql.Types;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs statements, transactions and metadata calls of the JDBC driver through a proxy. */
final class EndToEndTest {

  @TempDir static Path directory;
  private static TestGroup group;
  private static TestProxy proxy;

  @BeforeAll
  static void start() {
    group = new TestGroup(directory);
    proxy = new TestProxy(group, "vm-1");
  }

  @AfterAll
  static void stop() {
    proxy.close();
    group.close();
  }

  @BeforeEach
  void createTable() throws SQLException {
    group.execute("drop table if exists board");
    group.execute("create table board (id int primary key, name varchar(40), made timestamp)");
  }

  @Test
  void should_run_queries_and_updates() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      assertThat(statement.executeUpdate("insert into board values (1, 'oak', null)")).isEqualTo(1);
      try (ResultSet rows = statement.executeQuery("select id, name, made from board")) {
        assertThat(rows.next()).isTrue();
        assertThat(rows.getInt("id")).isEqualTo(1);
        assertThat(rows.getString(2)).isEqualTo("oak");
        assertThat(rows.getTimestamp(3)).isNull();
        assertThat(rows.next()).isFalse();
      }
    }
  }

  @Test
  void should_run_prepared_statements_and_batches() throws SQLException {
    Timestamp made = Timestamp.valueOf("2026-03-01 10:20:30.5");
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS)) {
      try (PreparedStatement insert =
          connection.prepareStatement("insert into board values (?, ?, ?)")) {
        for (int i = 0; i < 5; i++) {
          insert.setInt(1, i);
          insert.setString(2, "name " + i);
          insert.setTimestamp(3, made);
          insert.addBatch();
        }
        assertThat(insert.executeBatch()).hasLength(5);
        insert.setInt(1, 9);
        insert.setNull(2, Types.VARCHAR);
        insert.setTimestamp(3, made);
        assertThat(insert.executeUpdate()).isEqualTo(1);
      }
      try (PreparedStatement query =
          connection.prepareStatement("select name, made from board where id = ?")) {
        query.setInt(1, 3);
        try (ResultSet rows = query.executeQuery()) {
          assertThat(rows.next()).isTrue();
          assertThat(rows.getString(1)).isEqualTo("name 3");
          assertThat(rows.getTimestamp(2)).isEqualTo(made);
        }
        query.setInt(1, 9);
        try (ResultSet rows = query.executeQuery()) {
          assertThat(rows.next()).isTrue();
          assertThat(rows.getString(1)).isNull();
        }
      }
    }
  }

  @Test
  void should_commit_and_roll_back_transactions() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      statement.executeUpdate("insert into board values (1, 'kept', null)");
      connection.commit();
      statement.executeUpdate("insert into board values (2, 'dropped', null)");
      connection.rollback();
      statement.executeUpdate("insert into board values (3, 'committed by mode', null)");
      connection.setAutoCommit(true);
      assertThat(connection.getAutoCommit()).isTrue();
    }
    assertThat(group.queryNumber("select count(*) from board where id in (1, 3)")).isEqualTo(2);
    assertThat(group.queryNumber("select count(*) from board")).isEqualTo(2);
  }

  @Test
  void should_hide_changes_from_others_until_the_commit() throws SQLException {
    try (Connection writer = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = writer.createStatement()) {
      writer.setAutoCommit(false);
      statement.executeUpdate("insert into board values (1, 'pending', null)");
      assertThat(group.queryNumber("select count(*) from board")).isEqualTo(0);
      writer.commit();
      assertThat(group.queryNumber("select count(*) from board")).isEqualTo(1);
    }
  }

  @Test
  void should_forward_sql_errors_with_their_sql_state() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      SQLException e =
          assertThrows(SQLException.class, () -> statement.executeQuery("select * from nowhere"));
      assertThat(e.getSQLState()).startsWith("42S0");
      statement.executeUpdate("insert into board values (1, 'once', null)");
      SQLException twice =
          assertThrows(
              SQLException.class,
              () -> statement.executeUpdate("insert into board values (1, 'twice', null)"));
      assertThat(twice.getSQLState()).isEqualTo("23505");
      assertThat(group.queryNumber("select count(*) from board")).isEqualTo(1);
    }
  }

  @Test
  void should_serve_metadata_calls() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS)) {
      var data = connection.getMetaData();
      assertThat(data.getDatabaseProductName()).isNotEmpty();
      try (ResultSet tables = data.getTables(null, null, "BOARD", null)) {
        assertThat(tables.next()).isTrue();
        assertThat(tables.getString("TABLE_NAME")).isEqualTo("BOARD");
      }
      try (ResultSet columns = data.getColumns(null, null, "BOARD", null)) {
        assertThat(columns.next()).isTrue();
        assertThat(columns.getString("COLUMN_NAME")).isEqualTo("ID");
      }
      try (ResultSet types = data.getTypeInfo()) {
        assertThat(types.next()).isTrue();
      }
      try (ResultSet schemas = data.getSchemas()) {
        assertThat(schemas.next()).isTrue();
      }
    }
  }

  @Test
  void should_transfer_all_common_types() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement();
        ResultSet rows =
            statement.executeQuery(
                "select cast(7 as bigint), cast(1.5 as double), cast(2.50 as decimal(10, 2)),"
                    + " date '2026-02-03', true, x'00ff', cast(null as int),"
                    + " cast('long text' as clob), time '10:20:30'")) {
      assertThat(rows.next()).isTrue();
      assertThat(rows.getLong(1)).isEqualTo(7);
      assertThat(rows.getDouble(2)).isEqualTo(1.5);
      assertThat(rows.getBigDecimal(3).toPlainString()).isEqualTo("2.50");
      assertThat(rows.getDate(4)).isEqualTo(Date.valueOf("2026-02-03"));
      assertThat(rows.getBoolean(5)).isTrue();
      assertThat(rows.getBytes(6)).isEqualTo(new byte[] {0, (byte) 0xff});
      assertThat(rows.getInt(7)).isEqualTo(0);
      assertThat(rows.wasNull()).isTrue();
      assertThat(rows.getString(8)).isEqualTo("long text");
      assertThat(rows.getTime(9).toString()).isEqualTo("10:20:30");
    }
  }

  @Test
  void should_serve_the_stock_client_without_a_key_on_an_open_route() throws SQLException {
    try (Connection connection = proxy.connectStock(TestControlPlane.CATALOGUE, null, null);
        Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery("select 42")) {
      assertThat(rows.next()).isTrue();
      assertThat(rows.getInt(1)).isEqualTo(42);
    }
  }

  // Reads of a session with a position go to replicas. Writes were prepared there too, and the
  // replica refused them.
  @Test
  void should_prepare_a_write_after_a_write() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS)) {
      for (int i = 0; i < 10; i++) {
        try (PreparedStatement insert =
            connection.prepareStatement("insert into board values (?, 'elm', null)")) {
          insert.setInt(1, i);
          assertThat(insert.executeUpdate()).isEqualTo(1);
        }
        proxy.control().refresh();
      }
    }
    assertThat(group.queryNumber("select count(*) from board")).isEqualTo(10);
  }

  @Test
  void should_read_own_writes_on_replicas() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      for (int i = 0; i < 50; i++) {
        statement.executeUpdate("insert into board values (" + i + ", 'x', null)");
        proxy.control().refresh();
        try (ResultSet rows = statement.executeQuery("select count(*) from board")) {
          rows.next();
          assertThat(rows.getInt(1)).isEqualTo(i + 1);
        }
      }
    }
    assertThat(proxy.registry().get("oleanderstep.reads").tag("role", "replica").counter().count())
        .isGreaterThan(0.0);
  }
}
