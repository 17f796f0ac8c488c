package org.oleanderstep.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;

/**
 * Picks free TCP ports for servers whose address must be known before they start.
 *
 * <pre>{@code
 * int port = FreePorts.next();
 * }</pre>
 *
 * <p>The ports are below the range from which the kernel takes the ports of outgoing connections,
 * so that no connection occupies a port before its server is started.
 */
public final class FreePorts {

  private static final int FIRST = 12_000;
  private static final int LAST = 32_000;
  private static final int MAX_ATTEMPTS = 10_000;
  private static final Set<Integer> PICKED = ConcurrentHashMap.newKeySet();

  private FreePorts() {}

  /**
   * Returns a port that was free at the time of the call and that this process has not picked yet.
   *
   * @throws UncheckedIOException if no port is left
   */
  public static int next() {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
      if (PICKED.add(port) && isFree(port)) {
        return port;
      }
    }
    throw new UncheckedIOException(
        new IOException("found no free port from " + FIRST + " to " + LAST));
  }

  /** Returns several ports that differ from one another; see {@link #next}. */
  public static List<Integer> next(int count) {
    return IntStream.range(0, count).mapToObj(i -> next()).toList();
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
