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

/** A TCP relay that records what callers send and can close connections during a call. */
final class LossyRelay implements AutoCloseable {

  private static final int MAX_RECORDED = 1 << 20;

  private final ByteArrayOutputStream sent = new ByteArrayOutputStream();
  private final ServerSocket server;
  private final int targetPort;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean cutNextResponse;
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

  /** Forwards the next call, and closes its connection when the response arrives. */
  void cutNextResponse() {
    cutNextResponse = true;
  }

  /** Closes all connections and accepts no new ones, like a killed proxy. */
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

  private void forward(Socket from, Socket to, boolean responses) {
    byte[] buffer = new byte[8_192];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        if (responses && cutNextResponse) {
          cutNextResponse = false;
          return;
        }
        if (!responses) {
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

  /** Returns the recorded bytes that callers have sent, one character for each byte. */
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
