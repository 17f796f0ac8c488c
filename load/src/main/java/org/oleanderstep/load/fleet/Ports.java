package org.oleanderstep.load.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Picks free TCP ports. */
public final class Ports {

  private Ports() {}

  /**
   * Returns ports that were free at the time of the call and differ from one another.
   *
   * @throws IOException if the system has no free port
   */
  public static List<Integer> free(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }
}
