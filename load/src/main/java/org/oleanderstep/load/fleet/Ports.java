package org.oleanderstep.load.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Picks free TCP ports below the range from which the kernel takes the ports of outgoing
 * connections, so that no connection occupies a port before its server is started.
 */
public final class Ports {

  private static final int FIRST = 12_000;
  private static final int LAST = 32_000;
  private static final int MAX_ATTEMPTS = 10_000;

  private Ports() {}

  /**
   * Returns ports that were free at the time of the call and differ from one another.
   *
   * @throws IOException if too few are free
   */
  public static List<Integer> free(int count) throws IOException {
    Set<Integer> ports = new HashSet<>();
    for (int i = 0; i < MAX_ATTEMPTS && ports.size() < count; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
      if (isFree(port)) {
        ports.add(port);
      }
    }
    if (ports.size() < count) {
      throw new IOException("no " + count + " free ports from " + FIRST + " to " + LAST);
    }
    return new ArrayList<>(ports);
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
