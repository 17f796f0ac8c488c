package org.oleanderstep.proxy.internal.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Base64;
import org.apache.calcite.avatica.AvaticaClientRuntimeException;
import org.apache.calcite.avatica.AvaticaConnection;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;

/**
 * Guards H4, H5 and H6: calls run only for the organisation of their key, members never receive a
 * key, and calls with missing, wrong or withdrawn keys run nothing. Also covers calls over the
 * rate.
 */
final class CallerKeyTest {

  private static final String ALL_ROWS = "select x from system_range(1, 100000)";

  @TempDir static Path directory;
  private static TestGroup group;
  private TestProxy proxy;

  @BeforeAll
  static void start() {
    group = new TestGroup(directory);
  }

  @AfterAll
  static void stop() {
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

  private static String stateOf(Exception e) {
    return e instanceof SQLException sql
        ? sql.getSQLState()
        : ((AvaticaClientRuntimeException) e).getSqlState();
  }

  private String stateOfQuery(String key, String secret) {
    return stateOf(
        assertThrows(
            Exception.class,
            () -> {
              try (Connection connection =
                      TestProxy.connect(proxy.url(TestControlPlane.ORDERS, ""), key, secret, true);
                  Statement statement = connection.createStatement()) {
                statement.executeQuery("select 1");
              }
            }));
  }

  @Test
  void should_refuse_missing_wrong_and_unknown_keys() {
    assertThat(stateOfQuery(null, null)).isEqualTo("28000");
    assertThat(stateOfQuery("north-1", "wrong")).isEqualTo("28000");
    assertThat(stateOfQuery("nobody", TestControlPlane.SECRET)).isEqualTo("28000");
  }

  @Test
  void should_refuse_a_wrong_key_on_an_open_route_too() {
    Exception e =
        assertThrows(
            Exception.class,
            () ->
                TestProxy.connect(
                        proxy.url(TestControlPlane.CATALOGUE, ""), "north-1", "wrong", true)
                    .createStatement());
    assertThat(stateOf(e)).isEqualTo("28000");
  }

  @Test
  void should_serve_the_stock_client_with_a_key() throws SQLException {
    try (Connection connection =
            proxy.connectStock(TestControlPlane.ORDERS, "north-1", TestControlPlane.SECRET);
        Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery("select count from stock")) {
      assertThat(rows.next()).isTrue();
    }
  }

  @Test
  void should_not_let_one_organisation_use_the_connection_of_another() throws Exception {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      statement.executeUpdate("update stock set count = 5");
      String id = ((AvaticaConnection) connection).id;
      RawCaller other = new RawCaller(proxy, "south-1", TestControlPlane.SECRET);
      assertThat(other.commit(id)).isNotEqualTo(200);
      connection.rollback();
    }
    assertThat(group.queryNumber("select count from stock")).isEqualTo(0);
  }

  @Test
  void should_refuse_the_rest_of_a_result_when_the_key_is_withdrawn() throws SQLException {
    // Closing needs a valid key as well, so statement and connection stay open here.
    Statement statement = proxy.connect(TestControlPlane.ORDERS).createStatement();
    ResultSet rows = statement.executeQuery(ALL_ROWS);
    assertThat(rows.next()).isTrue();
    proxy.control().withdrawKeys("north-1");
    Exception e =
        assertThrows(
            Exception.class,
            () -> {
              while (rows.next()) {
                rows.getLong(1);
              }
            });
    assertThat(stateOf(unwrap(e))).isEqualTo("28000");
    awaitNothingOutstanding();
  }

  private static Exception unwrap(Exception e) {
    return e.getCause() instanceof AvaticaClientRuntimeException cause ? cause : e;
  }

  private void awaitNothingOutstanding() {
    long end = System.nanoTime() + 5_000_000_000L;
    for (String name : group.members().keySet()) {
      while (proxy.traffic().outstanding(TestControlPlane.ORDERS, new MemberId(name)) > 0) {
        assertThat(System.nanoTime() - end).isLessThan(0L);
        Thread.onSpinWait();
      }
    }
  }

  @Test
  void should_roll_back_at_once_when_the_key_of_a_transaction_is_withdrawn() throws SQLException {
    Connection connection = proxy.connect(TestControlPlane.ORDERS);
    Statement statement = connection.createStatement();
    connection.setAutoCommit(false);
    statement.executeUpdate("update stock set count = 5 where id = 1");
    proxy.control().withdrawKeys("north-1");
    awaitNothingOutstanding();
    // The row is not locked any more.
    group.execute("update stock set count = count + 1 where id = 1");
    SQLException e =
        assertThrows(SQLException.class, () -> statement.executeUpdate("delete from stock"));
    assertThat(e.getSQLState()).isEqualTo("28000");
    assertThat(stateOf(assertThrows(Exception.class, connection::commit))).isEqualTo("28000");
    assertThat(group.queryNumber("select count from stock")).isEqualTo(1);
  }

  @Test
  void should_refuse_statements_over_the_rate_without_running_them() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      proxy
          .control()
          .setAdmission(new Admission.Refused(NotRunReason.OVER_RATE, "wait and try again"));
      SQLException e =
          assertThrows(SQLException.class, () -> statement.executeUpdate("delete from stock"));
      assertThat(e.getSQLState()).isEqualTo("53400");
      proxy.control().setAdmission(new Admission.Admitted());
      assertThat(group.queryNumber("select count(*) from stock")).isEqualTo(1);
    }
  }

  @Test
  void should_refuse_all_calls_while_the_configuration_is_not_trusted() {
    proxy
        .control()
        .change(
            s ->
                new ControlSnapshot(
                    s.vm(),
                    s.instance(),
                    s.configuration(),
                    true,
                    false,
                    false,
                    s.vmCount(),
                    s.groups(),
                    s.incarnations(),
                    s.databasesToPurge()));
    assertThat(stateOfQuery("north-1", TestControlPlane.SECRET)).isEqualTo("57P03");
  }

  @Test
  void should_send_neither_key_nor_secret_to_a_member() throws Exception {
    int port = group.members().get("a").sqlAddress().getPort();
    try (LossyRelay relay = new LossyRelay(port)) {
      group.connectThrough("a", relay);
      try (TestProxy recorded = new TestProxy(group, "vm-2");
          Connection connection = recorded.connect(TestControlPlane.ORDERS);
          Statement statement = connection.createStatement()) {
        assertThat(statement.executeUpdate("update stock set count = 3")).isEqualTo(1);
      } finally {
        group.connectDirectly("a");
      }
      String sent = relay.sentText();
      assertThat(sent).contains("update stock set count = 3");
      assertThat(sent).doesNotContain(TestControlPlane.SECRET);
      assertThat(sent).doesNotContain("north");
      assertThat(sent)
          .doesNotContain(
              Base64.getEncoder()
                  .encodeToString(
                      ("north-1:" + TestControlPlane.SECRET).getBytes(StandardCharsets.UTF_8)));
    }
  }
}
