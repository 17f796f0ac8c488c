package org.oleanderstep.proxy.internal.traffic;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Properties;
import org.oleanderstep.client.OleanderstepHttpClient;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.proxy.internal.target.TargetAccount;

/** The traffic side of a proxy over a test control side. */
final class TestProxy implements AutoCloseable {

  private final TestControl control;
  private final TrafficServer traffic;
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  TestProxy(TestGroup group, String vm) {
    this(
        group,
        vm,
        TrafficSettings.withDefaults(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
  }

  TestProxy(TestGroup group, String vm, TrafficSettings settings) {
    control = new TestControl(group, vm);
    traffic =
        TrafficServer.start(
            control,
            settings,
            new TargetAccount(TestGroup.USER, TestGroup.PASSWORD, Duration.ofSeconds(10)),
            registry,
            InstantSource.system());
    control.attach(traffic);
  }

  TestControl control() {
    return control;
  }

  TrafficServer traffic() {
    return traffic;
  }

  SimpleMeterRegistry registry() {
    return registry;
  }

  String address() {
    return "127.0.0.1:" + traffic.callerPort();
  }

  String url(DatabaseId database, String options) {
    return "jdbc:avatica:remote:url=http://"
        + address()
        + "/v1/"
        + database.service()
        + "/"
        + database.database()
        + options
        + ";serialization=protobuf";
  }

  /** Connects with the client of this project. */
  Connection connect(DatabaseId database, String key, String options) throws SQLException {
    return connect(url(database, options), key, TestControl.SECRET, true);
  }

  Connection connect(DatabaseId database) throws SQLException {
    return connect(database, "north-1", "");
  }

  /** Connects with the stock HTTP client of the driver. */
  Connection connectStock(DatabaseId database, String key, String secret) throws SQLException {
    return connect(url(database, ""), key, secret, false);
  }

  static Connection connect(String url, String key, String secret, boolean ownClient)
      throws SQLException {
    Properties properties = new Properties();
    if (key != null) {
      properties.setProperty("authentication", "BASIC");
      properties.setProperty("avatica_user", key);
      properties.setProperty("avatica_password", secret);
    }
    if (ownClient) {
      properties.setProperty("httpclient_impl", OleanderstepHttpClient.class.getName());
    }
    return DriverManager.getConnection(url, properties);
  }

  /** Ends the proxy at once, as a crash does. */
  void kill() {
    traffic.close();
  }

  @Override
  public void close() {
    traffic.close();
  }
}
