package org.oleanderstep.proxy.internal.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.calcite.avatica.AvaticaClientRuntimeException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.routing.GroupView;

/** Tests waiting for a primary, draining, and sessions that move to another proxy. */
final class WaitingAndDrainTest {

  private static final String INCREMENT = "update stock set count = count + 1 where id = 1";

  @TempDir static Path directory;
  private static TestGroup group;
  private static TestProxy other;
  private TestProxy proxy;

  @BeforeAll
  static void start() {
    group = new TestGroup(directory);
    other = new TestProxy(group, "vm-2");
  }

  @AfterAll
  static void stop() {
    other.close();
    group.close();
  }

  @BeforeEach
  void startProxy() throws SQLException {
    proxy = new TestProxy(group, "vm-1");
    group.execute("drop table if exists stock");
    group.execute("create table stock (id int primary key, count int)");
    group.execute("insert into stock values (1, 0)");
  }

  @AfterEach
  void stopProxy() {
    proxy.close();
  }

  /** Connects to the proxy, with the other proxy as the alternative. */
  private Connection connectToBoth() throws SQLException {
    return proxy.connect(TestControlPlane.ORDERS, "north-1", "?proxies=" + other.address());
  }

  private static ControlSnapshot withoutPrimary(ControlSnapshot s) {
    Map<DatabaseId, GroupView> groups = new HashMap<>(s.groups());
    GroupView view = groups.get(TestControlPlane.ORDERS);
    groups.put(
        TestControlPlane.ORDERS,
        new GroupView(view.database(), view.term(), Optional.empty(), view.members()));
    return copy(s, false, groups);
  }

  private static ControlSnapshot copy(
      ControlSnapshot s, boolean leaving, Map<DatabaseId, GroupView> groups) {
    return new ControlSnapshot(
        s.vm(),
        s.instance(),
        s.configuration(),
        s.ready(),
        s.trusted(),
        leaving,
        s.vmCount(),
        groups,
        s.incarnations(),
        s.databasesToPurge());
  }

  @Test
  void should_run_a_waiting_write_when_there_is_a_primary_again() throws Exception {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      proxy.control().change(WaitingAndDrainTest::withoutPrimary);
      CompletableFuture<Integer> update =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return statement.executeUpdate(INCREMENT);
                } catch (SQLException e) {
                  throw new IllegalStateException(e);
                }
              });
      Thread.sleep(100);
      assertThat(update.isDone()).isFalse();
      proxy.control().refresh();
      assertThat(update.get(5, TimeUnit.SECONDS)).isEqualTo(1);
    }
  }

  @Test
  void should_report_not_run_when_there_is_no_primary_before_the_deadline() throws SQLException {
    try (Connection connection =
            proxy.connect(TestControlPlane.ORDERS, "north-1", "?timeoutMs=200");
        Statement statement = connection.createStatement()) {
      proxy.control().change(WaitingAndDrainTest::withoutPrimary);
      SQLException e = assertThrows(SQLException.class, () -> statement.executeUpdate(INCREMENT));
      assertThat(e.getSQLState()).isEqualTo("57P03");
      proxy.control().refresh();
      assertThat(group.queryNumber("select count from stock")).isEqualTo(0);
    }
  }

  // A driver reports a failed close as a failure of the update, which has run.
  @Test
  void should_close_statements_while_the_proxy_is_not_ready() throws SQLException {
    try (Connection connection =
        proxy.connect(TestControlPlane.ORDERS, "north-1", "?timeoutMs=500")) {
      try (Statement statement = connection.createStatement()) {
        assertThat(statement.executeUpdate(INCREMENT)).isEqualTo(1);
        proxy.control().change(WaitingAndDrainTest::notReady);
      }
      proxy.control().refresh();
    }
    assertThat(group.queryNumber("select count from stock")).isEqualTo(1);
  }

  private static ControlSnapshot notReady(ControlSnapshot s) {
    return new ControlSnapshot(
        s.vm(),
        s.instance(),
        s.configuration(),
        false,
        s.trusted(),
        s.leaving(),
        s.vmCount(),
        s.groups(),
        s.incarnations(),
        s.databasesToPurge());
  }

  @Test
  void should_let_transactions_finish_while_draining() throws Exception {
    try (Connection connection = connectToBoth();
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      statement.executeUpdate(INCREMENT);
      proxy.control().change(s -> copy(s, true, s.groups()));
      CompletableFuture<Void> drained = proxy.traffic().drain(Duration.ofSeconds(10));
      statement.executeUpdate(INCREMENT);
      assertThat(drained.isDone()).isFalse();
      connection.commit();
      drained.get(5, TimeUnit.SECONDS);
    }
    assertThat(group.queryNumber("select count from stock")).isEqualTo(2);
  }

  // The connection was closed after the first response, and the second call was dropped.
  @Test
  void should_answer_pipelined_calls_while_draining() throws Exception {
    try (Connection holder = connectToBoth();
        Statement held = holder.createStatement()) {
      holder.setAutoCommit(false);
      held.executeUpdate(INCREMENT);
      proxy.control().change(s -> copy(s, true, s.groups()));
      CompletableFuture<Void> drained = proxy.traffic().drain(Duration.ofSeconds(10));
      RawCaller caller = new RawCaller(proxy, "north-1", TestControlPlane.SECRET);

      assertThat(caller.pipelineTwoCommits("unknown")).isEqualTo(2);
      holder.commit();
      drained.get(5, TimeUnit.SECONDS);
    }
  }

  @Test
  void should_roll_back_transactions_at_the_end_of_the_drain_time() throws Exception {
    try (Connection connection = connectToBoth();
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      statement.executeUpdate(INCREMENT);
      proxy.control().change(s -> copy(s, true, s.groups()));
      proxy.traffic().drain(Duration.ofMillis(100)).get(5, TimeUnit.SECONDS);
      SQLException e = assertThrows(SQLException.class, () -> statement.executeUpdate(INCREMENT));
      assertThat(e.getSQLState()).isAnyOf("57P01", "08001", "40001");
    }
    assertThat(group.queryNumber("select count from stock")).isEqualTo(0);
  }

  @Test
  void should_begin_new_transactions_at_another_proxy_while_draining() throws Exception {
    try (Connection holder = connectToBoth();
        Statement held = holder.createStatement();
        Connection connection = connectToBoth();
        Statement statement = connection.createStatement()) {
      holder.setAutoCommit(false);
      held.executeUpdate(INCREMENT);
      proxy.control().change(s -> copy(s, true, s.groups()));
      CompletableFuture<Void> drained = proxy.traffic().drain(Duration.ofSeconds(10));
      connection.setAutoCommit(false);
      statement.executeUpdate("insert into stock values (2, 0)");
      assertThat(proxy.control().snapshot().leaving()).isTrue();
      assertThat(other.traffic().outstanding(TestControlPlane.ORDERS, new MemberId("a")))
          .isEqualTo(1);
      connection.commit();
      holder.commit();
      drained.get(5, TimeUnit.SECONDS);
    }
    assertThat(group.queryNumber("select count(*) from stock")).isEqualTo(2);
  }

  @Test
  void should_refuse_new_transactions_of_callers_without_an_alternative() throws Exception {
    try (Connection holder = connectToBoth();
        Statement held = holder.createStatement();
        Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      holder.setAutoCommit(false);
      held.executeUpdate(INCREMENT);
      proxy.control().change(s -> copy(s, true, s.groups()));
      connection.setAutoCommit(false);
      SQLException e = assertThrows(SQLException.class, () -> statement.executeQuery("select 1"));
      assertThat(e.getSQLState()).isEqualTo("57P01");
      holder.commit();
    }
  }

  @Test
  void should_refuse_a_rollback_of_auto_committed_statements() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        PreparedStatement update = connection.prepareStatement(INCREMENT)) {
      // The driver does not send the mode before the prepared statement runs.
      connection.setAutoCommit(false);
      update.executeUpdate();
      assertThat(stateOf(assertThrows(Exception.class, connection::rollback))).isEqualTo("25P01");
      connection.setAutoCommit(true);
      connection.setAutoCommit(false);
      assertThat(connection.getAutoCommit()).isFalse();
      update.executeUpdate();
      connection.rollback();
    }
    assertThat(group.queryNumber("select count from stock")).isEqualTo(1);
  }

  @Test
  void should_move_a_session_with_its_settings_and_statements_to_another_proxy()
      throws SQLException {
    try (LossyRelay relay = new LossyRelay(proxy.traffic().callerPort());
        Connection connection =
            TestProxy.connect(
                "jdbc:avatica:remote:url=http://"
                    + relay.address()
                    + "/v1/shop/orders?proxies="
                    + other.address()
                    + ";serialization=protobuf",
                "north-1",
                TestControlPlane.SECRET,
                true);
        PreparedStatement update =
            connection.prepareStatement("update stock set count = ? where id = 1");
        PreparedStatement query = connection.prepareStatement("select count from stock")) {
      update.setInt(1, 7);
      assertThat(update.executeUpdate()).isEqualTo(1);
      connection.setAutoCommit(false);
      // The driver sends the mode with this call, not with the execution below.
      assertThat(connection.getAutoCommit()).isFalse();
      try (ResultSet rows = query.executeQuery()) {
        assertThat(rows.next()).isTrue();
      }
      connection.commit();
      relay.kill();
      update.setInt(1, 8);
      Exception failure = assertThrows(Exception.class, update::executeUpdate);
      assertThat(stateOf(failure)).isEqualTo("40001");
      connection.rollback();
      assertThat(update.executeUpdate()).isEqualTo(1);
      // The commit mode moved with the session, so the change is not visible to others yet.
      assertThat(group.queryNumber("select count from stock")).isEqualTo(7);
      connection.commit();
      try (ResultSet rows = query.executeQuery()) {
        rows.next();
        assertThat(rows.getInt(1)).isEqualTo(8);
      }
      connection.rollback();
    }
  }

  private static String stateOf(Exception e) {
    return e instanceof SQLException sql
        ? sql.getSQLState()
        : ((AvaticaClientRuntimeException) e).getSqlState();
  }
}
