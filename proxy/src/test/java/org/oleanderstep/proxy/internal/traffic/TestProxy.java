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

/** A proxy's {@link TrafficServer} with a {@link TestControlPlane}. */
final class TestProxy implements AutoCloseable {

  private final TestControlPlane control;
  private final TrafficServer traffic;
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  TestProxy(TestGroup group, String vm) {
    this(
        group,
        vm,
        TrafficSettings.withDefaults(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
  }

  TestProxy(TestGroup group, String vm, TrafficSettings settings) {
    control = new TestControlPlane(group, vm);
    traffic =
        TrafficServer.start(
            control,
            settings,
            new TargetAccount(TestGroup.USER, TestGroup.PASSWORD, Duration.ofSeconds(10)),
            registry,
            InstantSource.system());
    control.attach(traffic);
  }

  TestControlPlane control() {
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

  /** Connects with this project's HTTP client. */
  Connection connect(DatabaseId database, String key, String options) throws SQLException {
    return connect(url(database, options), key, TestControlPlane.SECRET, true);
  }

  Connection connect(DatabaseId database) throws SQLException {
    return connect(database, "north-1", "");
  }

  /** Connects with the driver's own HTTP client. */
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

  /** Stops the proxy without draining, like a crash. */
  void kill() {
    traffic.close();
  }

  @Override
  public void close() {
    traffic.close();
  }
}
