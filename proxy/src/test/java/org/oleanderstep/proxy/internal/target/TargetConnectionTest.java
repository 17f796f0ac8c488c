package org.oleanderstep.proxy.internal.target;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.sql.Connection;
import java.sql.Driver;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.MemberId;

/** A request runs only with the connection settings that its caller has chosen. */
final class TargetConnectionTest {

  private static final Duration LIMIT = Duration.ofSeconds(1);
  private static final String URL = "jdbc:refusing:";

  private final Driver driver = proxy(Driver.class, this::drive);
  private String refusedMethod = "";
  private boolean autoCommit = true;

  private interface Calls {
    Object call(Method method, Object[] arguments) throws SQLException;
  }

  private static <T> T proxy(Class<T> type, Calls calls) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (self, method, arguments) ->
                switch (method.getName()) {
                  case "equals" -> self == arguments[0];
                  case "hashCode" -> System.identityHashCode(self);
                  default -> calls.call(method, arguments);
                }));
  }

  private Object drive(Method method, Object[] arguments) {
    return switch (method.getName()) {
      case "acceptsURL" -> arguments[0].equals(URL);
      case "connect" -> arguments[0].equals(URL) ? proxy(Connection.class, this::serve) : null;
      default -> null;
    };
  }

  private Object serve(Method method, Object[] arguments) throws SQLException {
    if (method.getName().equals(refusedMethod)) {
      throw new SQLException("refused", "53300");
    }
    return switch (method.getName()) {
      case "getTransactionIsolation" -> Connection.TRANSACTION_READ_COMMITTED;
      case "getAutoCommit" -> autoCommit;
      case "setAutoCommit" -> {
        autoCommit = (boolean) arguments[0];
        yield null;
      }
      default -> null;
    };
  }

  @BeforeEach
  void register() throws SQLException {
    DriverManager.registerDriver(driver);
  }

  @AfterEach
  void deregister() throws SQLException {
    DriverManager.deregisterDriver(driver);
  }

  private TargetConnection open() throws SQLException {
    TargetAccount account = new TargetAccount("proxy", "secret", LIMIT);
    return TargetConnection.open(new MemberId("a"), "1", URL, account, LIMIT);
  }

  // The commit mode had changed although the change as a whole failed: the next request on the
  // connection ran in a transaction that nobody committed.
  @Test
  void should_not_reuse_a_connection_after_a_change_of_settings_that_failed_in_part()
      throws SQLException {
    TargetConnection connection = open();
    refusedMethod = "setReadOnly";

    assertThrows(
        SQLException.class, () -> connection.apply(new ConnectionState(false, true, 0, "", "")));
    refusedMethod = "";

    assertThat(autoCommit).isFalse();
    assertThat(connection.isInDefaultState()).isFalse();
    assertThat(connection.reset(LIMIT)).isFalse();
  }

  @Test
  void should_reuse_a_connection_whose_settings_were_changed_and_reset() throws SQLException {
    TargetConnection connection = open();

    connection.apply(new ConnectionState(false, true, 0, "", ""));

    assertThat(connection.isInDefaultState()).isFalse();
    assertThat(connection.reset(LIMIT)).isTrue();
    assertThat(autoCommit).isTrue();
    assertThat(connection.isInDefaultState()).isTrue();
  }
}
