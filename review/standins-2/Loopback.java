import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds loopback addresses and free ports. */
final class Loopback {

  private static final int METRICS_PORT = 9464;

  private Loopback() {}

  /** Returns an address on which the fixed port of the metrics is free. */
  static InetAddress find() throws IOException {
    for (int i = 0; i < 200; i++) {
      ThreadLocalRandom random = ThreadLocalRandom.current();
      byte[] bytes = {127, (byte) random.nextInt(1, 250), (byte) random.nextInt(250), 1};
      InetAddress address = InetAddress.getByAddress(bytes);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(address, METRICS_PORT));
        return address;
      } catch (IOException e) {
        // Another one may be free.
      }
    }
    throw new IOException("no loopback address has a free port " + METRICS_PORT);
  }

  static InetSocketAddress withFreePort(InetAddress address) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, address)) {
      return new InetSocketAddress(address, socket.getLocalPort());
    }
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
