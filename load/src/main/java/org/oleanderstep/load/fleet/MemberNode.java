package org.oleanderstep.load.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.function.Supplier;
import org.oleanderstep.schema.v1.Member;

/**
 * A member of a database group: its process and the relays before its two ports.
 *
 * @param sqlPort port on which the process itself serves SQL
 * @param controlPort port on which the process itself serves terms, positions and promotion
 */
record MemberNode(
    Member declared,
    String group,
    ManagedProcess process,
    int sqlPort,
    int controlPort,
    Relay sqlRelay,
    Relay controlRelay) {

  static MemberNode create(
      Member declared,
      String group,
      ManagedProcess process,
      int sqlPort,
      int controlPort,
      Supplier<Map<String, Long>> parties)
      throws IOException {
    String subject = process.name();
    Relay sql = new Relay(subject, loopback(sqlPort), parties);
    Relay control = new Relay(subject, loopback(controlPort), parties);
    return new MemberNode(declared, group, process, sqlPort, controlPort, sql, control);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Returns the declaration with the addresses of the relays. */
  Member relayed() {
    String url = "jdbc:avatica:remote:url=http://" + sqlRelay.address() + ";serialization=protobuf";
    return declared.toBuilder().setJdbcUrl(url).setControlAddress(controlRelay.address()).build();
  }

  void cut(Collection<String> parties) {
    sqlRelay.cut(parties, Relay.Direction.BOTH);
    controlRelay.cut(parties, Relay.Direction.BOTH);
  }

  void restore(Collection<String> parties) {
    sqlRelay.restore(parties);
    controlRelay.restore(parties);
  }
}
