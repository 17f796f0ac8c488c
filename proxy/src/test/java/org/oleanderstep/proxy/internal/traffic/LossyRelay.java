package org.oleanderstep.proxy.internal.traffic;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards bytes to a proxy, and can break connections in the middle of a call. */
final class LossyRelay implements AutoCloseable {

  private static final int MAX_RECORDED = 1 << 20;

  private final ByteArrayOutputStream sent = new ByteArrayOutputStream();
  private final ServerSocket server;
  private final int targetPort;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean cutNextAnswer;
  private volatile boolean closed;

  LossyRelay(int targetPort) {
    this.targetPort = targetPort;
    try {
      server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    start(this::accept);
  }

  private static void start(Runnable work) {
    Thread thread = new Thread(work, "lossy-relay");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Lets the next call pass and breaks its connection when the answer arrives. */
  void cutNextAnswer() {
    cutNextAnswer = true;
  }

  /** Breaks all connections and takes no new ones, as a killed proxy does. */
  void kill() {
    closed = true;
    close(server);
    sockets.forEach(LossyRelay::close);
  }

  private void accept() {
    while (!closed) {
      try {
        Socket caller = server.accept();
        Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        caller.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
        sockets.add(caller);
        sockets.add(target);
        start(() -> forward(caller, target, false));
        start(() -> forward(target, caller, true));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void forward(Socket from, Socket to, boolean answers) {
    byte[] buffer = new byte[8_192];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (answers && cutNextAnswer) {
          cutNextAnswer = false;
          return;
        }
        if (!answers) {
          record(buffer, n);
        }
        out.write(buffer, 0, n);
      }
    } catch (IOException e) {
      // The other side has closed the connection.
      return;
    }
  }

  private synchronized void record(byte[] buffer, int length) {
    if (sent.size() < MAX_RECORDED) {
      sent.write(buffer, 0, length);
    }
  }

  /** Returns what callers have sent, one character for each byte. */
  synchronized String sentText() {
    return sent.toString(StandardCharsets.ISO_8859_1);
  }

  private static void close(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    kill();
  }
}
