package org.oleanderstep.proxy.internal.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards H3 and H8: callers that share pooled connections never see each other's transactions or
 * responses.
 */
final class IsolationTest {

  private static final int CALLERS = 12;
  private static final int ROUNDS = 60;
  private static final String SLOW = "select count(*) from system_range(1, 30000000)";

  @TempDir static Path directory;
  private static TestGroup group;
  private static TestProxy proxy;

  @BeforeAll
  static void start() throws SQLException {
    group = new TestGroup(directory);
    proxy = new TestProxy(group, "vm-1", settings());
    group.execute("create table account (id int primary key, changes int)");
    for (int i = 0; i < CALLERS; i++) {
      group.execute("insert into account values (" + i + ", 0)");
    }
  }

  private static TrafficSettings settings() {
    return new TrafficSettings(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        Optional.empty(),
        64 << 10,
        32 << 10,
        200,
        500,
        Duration.ofSeconds(60),
        1_000,
        Duration.ofSeconds(10),
        Duration.ofHours(24),
        32);
  }

  @AfterAll
  static void stop() {
    proxy.close();
    group.close();
  }

  @Test
  void should_isolate_responses_transactions_and_settings_of_callers() throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    List<Integer> committed = new ArrayList<>();
    try {
      List<Callable<Integer>> work = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        int caller = i;
        work.add(() -> runCaller(caller));
      }
      for (Future<Integer> result : callers.invokeAll(work)) {
        committed.add(result.get());
      }
    } finally {
      callers.shutdownNow();
    }
    for (int i = 0; i < CALLERS; i++) {
      long changes = group.queryNumber("select changes from account where id = " + i);
      assertThat(changes).isEqualTo(committed.get(i).longValue());
    }
    // Fails with a lock time-out if a transaction was left open.
    group.execute("update account set changes = 0");
  }

  /** Returns the number of committed changes to the caller's row. */
  private static int runCaller(int caller) throws SQLException {
    Random random = new Random(caller);
    int changes = 0;
    for (int round = 0; round < ROUNDS; round++) {
      switch (random.nextInt(6)) {
        case 0 -> timeOut();
        case 1 -> changes += change(caller, true);
        case 2 -> change(caller, false);
        case 3 -> leaveOpen(caller);
        default -> checkOwnResponse(caller, round);
      }
    }
    return changes;
  }

  /** Makes a response arrive after its time-out; it must not reach the next caller. */
  private static void timeOut() throws SQLException {
    try (Connection connection =
            proxy.connect(TestControlPlane.ORDERS, "north-1", "?timeoutMs=15");
        Statement statement = connection.createStatement()) {
      statement.executeQuery(SLOW).close();
    } catch (SQLException | RuntimeException e) {
      // Any error is allowed here; only a response to another call is a fault.
      return;
    }
  }

  private static int change(int caller, boolean commit) throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      int rows =
          statement.executeUpdate("update account set changes = changes + 1 where id = " + caller);
      if (commit) {
        connection.commit();
        return rows;
      }
      connection.rollback();
      return 0;
    }
  }

  private static void leaveOpen(int caller) throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      connection.setTransactionIsolation(Connection.TRANSACTION_SERIALIZABLE);
      statement.executeUpdate("update account set changes = -1 where id = " + caller);
    }
  }

  private static void checkOwnResponse(int caller, int round) throws SQLException {
    String token = "caller " + caller + " round " + round;
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement();
        ResultSet rows =
            statement.executeQuery("select '" + token + "' from system_range(1, 300)")) {
      int count = 0;
      while (rows.next()) {
        assertThat(rows.getString(1)).isEqualTo(token);
        count++;
      }
      assertThat(count).isEqualTo(300);
    }
  }

  @Test
  void should_read_a_hundred_thousand_rows_in_order() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement();
        ResultSet rows =
            statement.executeQuery(
                "select x, repeat('payload ', 50) from system_range(1, 100000)")) {
      long expected = 1;
      while (rows.next()) {
        assertThat(rows.getLong(1)).isEqualTo(expected);
        expected++;
      }
      assertThat(expected).isEqualTo(100_001);
    }
  }

  @Test
  void should_reject_malformed_input_with_an_error_or_a_closed_connection() throws Exception {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      byte[] randomBytes = new byte[4_096];
      new Random(7).nextBytes(randomBytes);
      for (byte[] input :
          List.of(
              randomBytes,
              text("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
              text("BREW /v1/shop/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
              text("POST /v1/../orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
              text("POST /v1/shop/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\n"),
              text("POST /v1/shop/orders HTTP/1.1\r\nContent-Length: -5\r\n\r\n"))) {
        String response = exchange(input);
        assertThat(response).doesNotContain("200 OK");
      }
      RawCaller raw = new RawCaller(proxy, "north-1", TestControlPlane.SECRET);
      assertThat(raw.send(randomBytes)).isEqualTo(500);
      assertThat(raw.send(new byte[0])).isEqualTo(500);
      checkOwnResponse(1, 1);
      try (ResultSet rows = statement.executeQuery("select 1")) {
        assertThat(rows.next()).isTrue();
      }
    }
  }

  private static byte[] text(String http) {
    return http.getBytes(StandardCharsets.US_ASCII);
  }

  /** Sends bytes and returns what comes back until the proxy closes the connection. */
  private static String exchange(byte[] input) throws IOException {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), proxy.traffic().callerPort())) {
      socket.setSoTimeout(5_000);
      socket.getOutputStream().write(input);
      socket.shutdownOutput();
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @Test
  void should_refuse_a_statement_that_is_too_long() throws SQLException {
    try (Connection connection = proxy.connect(TestControlPlane.ORDERS);
        Statement statement = connection.createStatement()) {
      String longText = "select '" + "x".repeat(40 << 10) + "'";
      SQLException e = assertThrows(SQLException.class, () -> statement.executeQuery(longText));
      assertThat(e.getSQLState()).isEqualTo("22023");
    }
  }
}
