package org.oleanderstep.load.workload;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import org.oleanderstep.load.fleet.CallerKey;

/**
 * Opens JDBC connections with the stock Avatica driver and the client library, as applications do.
 *
 * @param callerAddresses host:port of each proxy
 * @param deadline time that a caller waits for an answer
 * @param callsPerProxy calls after which a session moves to another proxy; zero keeps it in place
 */
public record CallerConnections(
    List<String> callerAddresses, Duration deadline, int callsPerProxy) {

  /** Copies the list of addresses. */
  public CallerConnections {
    callerAddresses = List.copyOf(callerAddresses);
  }

  /**
   * Opens a connection.
   *
   * @param database in the form {@code service/database}
   * @param first index of the proxy that is used first
   * @throws SQLException if no proxy accepts it
   */
  public Connection open(String database, CallerKey key, int first) throws SQLException {
    Properties properties = new Properties();
    properties.setProperty("avatica_user", key.id());
    properties.setProperty("avatica_password", key.secret());
    return DriverManager.getConnection(url(database, first), properties);
  }

  private String url(String database, int first) {
    List<String> others = new ArrayList<>();
    for (int i = 1; i < callerAddresses.size(); i++) {
      others.add(callerAddresses.get((first + i) % callerAddresses.size()));
    }
    return "jdbc:avatica:remote:url=http://"
        + callerAddresses.get(first)
        + "/v1/"
        + database
        + "?proxies="
        + String.join(",", others)
        + "&timeoutMs="
        + deadline.toMillis()
        + (callsPerProxy > 0 ? "&callsPerProxy=" + callsPerProxy : "")
        + ";serialization=protobuf;authentication=BASIC"
        + ";httpclient_impl=org.oleanderstep.client.OleanderstepHttpClient";
  }
}
