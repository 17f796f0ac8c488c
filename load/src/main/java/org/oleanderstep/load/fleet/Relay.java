package org.oleanderstep.load.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A TCP relay before one address, which can drop the traffic of named parties.
 *
 * <p>A cut link behaves like a network partition: connections stay open, nothing arrives in the cut
 * direction, and new connections are accepted but never answered.
 */
public final class Relay implements AutoCloseable {

  private static final Logger LOGGER = LogManager.getLogger(Relay.class);
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int BACKLOG = 512;

  private final String subject;
  private final InetSocketAddress destination;
  private final Supplier<Map<String, Long>> parties;
  private final ServerSocket listener;
  private final ExecutorService threads;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private final Map<String, Direction> cuts = new ConcurrentHashMap<>();

  /**
   * Opens the relay on a free port.
   *
   * @param subject name of the party behind the relay
   * @param parties process ids by name, to tell whose connection it is
   * @throws IOException if no port can be opened
   */
  public Relay(String subject, InetSocketAddress destination, Supplier<Map<String, Long>> parties)
      throws IOException {
    this.subject = subject;
    this.destination = destination;
    this.parties = parties;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    this.threads = Executors.newCachedThreadPool(Relay::daemon);
    threads.execute(this::accept);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    return thread;
  }

  /** Returns host and port to which parties connect. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Cuts the links of the given parties in the given direction. */
  public void cut(Collection<String> names, Direction direction) {
    names.forEach(name -> cuts.put(name, direction));
  }

  /** Restores all links of the given parties; connections that lost data are closed. */
  public void restore(Collection<String> names) {
    names.forEach(cuts::remove);
    links.stream().filter(link -> link.lostData && names.contains(link.party)).forEach(Link::close);
  }

  private boolean drops(String party, Direction direction) {
    Direction cut = cuts.get(party);
    return cut != null && cut.covers(direction);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        threads.execute(() -> connect(socket));
      } catch (IOException e) {
        LOGGER.debug("the relay of {} stopped accepting", subject, e);
      }
    }
  }

  private void connect(Socket caller) {
    try {
      caller.setTcpNoDelay(true);
      String party = partyOf(caller.getPort());
      Socket target = new Socket();
      target.setTcpNoDelay(true);
      target.connect(destination);
      Link link = new Link(party, caller, target);
      links.add(link);
      threads.execute(() -> link.copy(caller, target, Direction.TO_SUBJECT));
      link.copy(target, caller, Direction.FROM_SUBJECT);
    } catch (IOException e) {
      LOGGER.debug("no connection to {}", subject, e);
      closeQuietly(caller);
    }
  }

  private String partyOf(int port) throws IOException {
    Map<String, Long> known = parties.get();
    long pid = PeerProcess.find(port, known.values()).orElse(-1);
    return known.entrySet().stream()
        .filter(entry -> entry.getValue() == pid)
        .map(Map.Entry::getKey)
        .findFirst()
        .orElse("unknown");
  }

  @Override
  public void close() throws IOException {
    listener.close();
    links.forEach(Link::close);
    threads.shutdownNow();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      LOGGER.debug("closing a relayed connection failed", e);
    }
  }

  /** Directions in which a link can be cut. */
  public enum Direction {
    TO_SUBJECT,
    FROM_SUBJECT,
    BOTH;

    boolean covers(Direction other) {
      return this == BOTH || this == other;
    }
  }

  /** One relayed connection. */
  private final class Link {

    private final String party;
    private final Socket caller;
    private final Socket target;
    private volatile boolean lostData;

    Link(String party, Socket caller, Socket target) {
      this.party = party;
      this.caller = caller;
      this.target = target;
    }

    void copy(Socket from, Socket to, Direction direction) {
      byte[] buffer = new byte[BUFFER_BYTES];
      try {
        int length = from.getInputStream().read(buffer);
        while (length >= 0) {
          forward(to, buffer, length, direction);
          length = from.getInputStream().read(buffer);
        }
        end(direction);
      } catch (IOException e) {
        end(direction);
      }
    }

    private void forward(Socket to, byte[] buffer, int length, Direction direction)
        throws IOException {
      if (lostData || drops(party, direction)) {
        lostData = true;
        return;
      }
      to.getOutputStream().write(buffer, 0, length);
    }

    // The end of a connection does not cross a cut either.
    private void end(Direction direction) {
      if (drops(party, direction)) {
        lostData = true;
        return;
      }
      close();
    }

    void close() {
      closeQuietly(caller);
      closeQuietly(target);
      links.remove(this);
    }
  }
}
