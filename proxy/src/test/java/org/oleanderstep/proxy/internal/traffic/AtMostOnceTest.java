package org.oleanderstep.proxy.internal.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.calcite.avatica.AvaticaClientRuntimeException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.client.RequestIds;

/**
 * Guards H10: with lost responses and killed proxies, no update runs twice. A request id makes the
 * outcome known.
 */
final class AtMostOnceTest {

  private static final String INCREMENT = "update stock set count = count + 1 where id = 1";
  private static final AtomicInteger IDS = new AtomicInteger();

  @TempDir static Path directory;
  private static TestGroup group;
  private static TestProxy first;
  private static TestProxy second;

  @BeforeAll
  static void start() {
    group = new TestGroup(directory);
    first = new TestProxy(group, "vm-1");
    second = new TestProxy(group, "vm-2");
  }

  @AfterAll
  static void stop() {
    first.close();
    second.close();
    group.close();
  }

  @BeforeEach
  void createTable() throws SQLException {
    group.execute("drop table if exists stock");
    group.execute("create table stock (id int primary key, count int)");
    group.execute("insert into stock values (1, 0)");
  }

  private static String newId() {
    return "request-" + IDS.incrementAndGet();
  }

  private static long count() throws SQLException {
    return group.queryNumber("select count from stock where id = 1");
  }

  /** Connects through the relay to the first proxy, with the second proxy as the alternative. */
  private static Connection connect(LossyRelay relay) throws SQLException {
    String url =
        "jdbc:avatica:remote:url=http://"
            + relay.address()
            + "/v1/shop/orders?proxies="
            + second.address()
            + ";serialization=protobuf";
    return TestProxy.connect(url, "north-1", TestControlPlane.SECRET, true);
  }

  @Test
  void should_not_repeat_an_update_without_request_id() throws SQLException {
    try (LossyRelay relay = new LossyRelay(first.traffic().callerPort());
        Connection connection = connect(relay);
        Statement statement = connection.createStatement()) {
      relay.cutNextResponse();
      SQLException e = assertThrows(SQLException.class, () -> statement.executeUpdate(INCREMENT));
      assertThat(e.getSQLState()).isEqualTo("08007");
      assertThat(count()).isEqualTo(1);
    }
  }

  @Test
  void should_run_an_update_once_when_its_response_is_lost() throws SQLException {
    try (LossyRelay relay = new LossyRelay(first.traffic().callerPort());
        Connection connection = connect(relay);
        Statement statement = connection.createStatement();
        RequestIds.Scope scope = RequestIds.use(newId())) {
      assertThat(scope).isNotNull();
      relay.cutNextResponse();
      assertThat(statement.executeUpdate(INCREMENT)).isEqualTo(1);
      assertThat(count()).isEqualTo(1);
    }
  }

  @Test
  void should_return_the_first_response_when_repeated_through_another_proxy() throws SQLException {
    String id = newId();
    try (Connection a = first.connect(TestControlPlane.ORDERS);
        Connection b = second.connect(TestControlPlane.ORDERS);
        Statement onFirst = a.createStatement();
        Statement onSecond = b.createStatement();
        RequestIds.Scope scope = RequestIds.use(id)) {
      assertThat(scope).isNotNull();
      assertThat(onFirst.executeUpdate(INCREMENT)).isEqualTo(1);
      group.execute("delete from stock");
      assertThat(onSecond.executeUpdate(INCREMENT)).isEqualTo(1);
    }
  }

  @Test
  void should_reject_an_id_that_was_used_for_another_statement() throws SQLException {
    try (Connection connection = first.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement();
        RequestIds.Scope scope = RequestIds.use(newId())) {
      assertThat(scope).isNotNull();
      statement.executeUpdate(INCREMENT);
      SQLException e =
          assertThrows(
              SQLException.class, () -> statement.executeUpdate("update stock set count = 99"));
      assertThat(e.getSQLState()).isEqualTo("22023");
      assertThat(count()).isEqualTo(1);
    }
  }

  @Test
  void should_run_once_when_many_callers_send_the_same_id_at_once() throws Exception {
    String id = newId();
    ExecutorService callers = Executors.newFixedThreadPool(8);
    try {
      List<Callable<Integer>> calls = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        TestProxy proxy = i % 2 == 0 ? first : second;
        calls.add(() -> updateWithId(proxy, id));
      }
      for (Future<Integer> result : callers.invokeAll(calls)) {
        assertThat(result.get()).isEqualTo(1);
      }
    } finally {
      callers.shutdownNow();
    }
    assertThat(count()).isEqualTo(1);
  }

  private static int updateWithId(TestProxy proxy, String id) throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement();
        RequestIds.Scope scope = RequestIds.use(id)) {
      assertThat(scope).isNotNull();
      return statement.executeUpdate(INCREMENT);
    }
  }

  @Test
  void should_report_a_commit_as_successful_when_its_response_is_lost() throws SQLException {
    try (LossyRelay relay = new LossyRelay(first.traffic().callerPort());
        Connection connection = connect(relay);
        Statement statement = connection.createStatement();
        RequestIds.Scope scope = RequestIds.use(newId())) {
      assertThat(scope).isNotNull();
      connection.setAutoCommit(false);
      statement.executeUpdate(INCREMENT);
      relay.cutNextResponse();
      connection.commit();
      assertThat(count()).isEqualTo(1);
    }
  }

  @Test
  void should_report_a_lost_commit_as_unknown_without_request_id() throws SQLException {
    try (LossyRelay relay = new LossyRelay(first.traffic().callerPort());
        Connection connection = connect(relay);
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      statement.executeUpdate(INCREMENT);
      relay.cutNextResponse();
      assertThat(sqlState(assertThrows(Exception.class, connection::commit))).isEqualTo("08007");
      assertThat(count()).isEqualTo(1);
    }
  }

  /** The driver throws the error of a commit without wrapping it in an SQLException. */
  private static String sqlState(Exception e) {
    if (e instanceof SQLException sql) {
      return sql.getSQLState();
    }
    return ((AvaticaClientRuntimeException) e).getSqlState();
  }

  @Test
  void should_roll_back_the_transaction_of_a_killed_proxy_and_allow_a_retry() throws SQLException {
    String id = newId();
    try (TestProxy killed = new TestProxy(group, "vm-3");
        LossyRelay relay = new LossyRelay(killed.traffic().callerPort());
        Connection connection = connect(relay);
        Statement statement = connection.createStatement();
        RequestIds.Scope scope = RequestIds.use(id)) {
      assertThat(scope).isNotNull();
      connection.setAutoCommit(false);
      statement.executeUpdate(INCREMENT);
      relay.kill();
      killed.kill();
      Exception e = assertThrows(Exception.class, connection::commit);
      assertThat(sqlState(e)).isEqualTo("40001");
      connection.rollback();
      assertThat(count()).isEqualTo(0);
    }
    try (Connection connection = second.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement();
        RequestIds.Scope scope = RequestIds.use(newId())) {
      assertThat(scope).isNotNull();
      connection.setAutoCommit(false);
      statement.executeUpdate(INCREMENT);
      connection.commit();
    }
    assertThat(count()).isEqualTo(1);
  }

  @Test
  void should_refuse_statements_of_a_transaction_that_is_open_at_another_proxy()
      throws SQLException {
    try (LossyRelay relay = new LossyRelay(first.traffic().callerPort());
        Connection connection = connect(relay);
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      statement.executeUpdate(INCREMENT);
      relay.kill();
      SQLException e = assertThrows(SQLException.class, () -> statement.executeUpdate(INCREMENT));
      assertThat(e.getSQLState()).isEqualTo("40001");
      connection.rollback();
      statement.executeUpdate(INCREMENT);
      connection.commit();
      assertThat(count()).isEqualTo(1);
    }
  }

  @Test
  void should_not_run_a_committed_transaction_again_under_its_id() throws SQLException {
    String id = newId();
    for (int i = 0; i < 2; i++) {
      try (Connection connection = (i == 0 ? first : second).connect(TestControlPlane.ORDERS);
          Statement statement = connection.createStatement();
          RequestIds.Scope scope = RequestIds.use(id)) {
        assertThat(scope).isNotNull();
        connection.setAutoCommit(false);
        statement.executeUpdate(INCREMENT);
        connection.commit();
      }
    }
    assertThat(count()).isEqualTo(1);
  }

  @Test
  void should_refuse_a_write_without_request_id_where_the_route_requires_one() throws SQLException {
    try (Connection connection = first.connect(TestControlPlane.STRICT);
        Statement statement = connection.createStatement()) {
      SQLException e = assertThrows(SQLException.class, () -> statement.executeUpdate(INCREMENT));
      assertThat(e.getSQLState()).isEqualTo("22023");
      assertThat(count()).isEqualTo(0);
      try (RequestIds.Scope scope = RequestIds.use(newId())) {
        assertThat(scope).isNotNull();
        assertThat(statement.executeUpdate(INCREMENT)).isEqualTo(1);
      }
    }
  }

  @Test
  void should_read_its_own_write_after_the_response_to_the_write_was_lost() throws SQLException {
    try (LossyRelay relay = new LossyRelay(first.traffic().callerPort());
        Connection connection = connect(relay);
        Statement statement = connection.createStatement()) {
      try (var rows = statement.executeQuery("select count from stock where id = 1")) {
        assertThat(rows.next()).isTrue();
      }
      relay.cutNextResponse();
      assertThrows(SQLException.class, () -> statement.executeUpdate(INCREMENT));
      try (var rows = statement.executeQuery("select count from stock where id = 1")) {
        rows.next();
        assertThat(rows.getInt(1)).isEqualTo(1);
      }
    }
  }

  @Test
  void should_remove_old_request_ids() throws Exception {
    try (Connection connection = first.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement();
        RequestIds.Scope scope = RequestIds.use(newId())) {
      assertThat(scope).isNotNull();
      statement.executeUpdate(INCREMENT);
    }
    group.execute("update oleanderstep_requests set recorded_at = timestamp '2020-01-01 00:00:00'");
    first.traffic().purge(TestControlPlane.ORDERS, Duration.ofHours(24)).get();
    assertThat(group.queryNumber("select count(*) from oleanderstep_requests")).isEqualTo(0);
  }
}
