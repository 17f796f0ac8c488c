package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;

/** Forwards connections to an address. While it is silent, it holds back all bytes. */
final class Relay {

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final ExecutorService threads;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private boolean silent;

  Relay(InetAddress ip, InetSocketAddress target, ExecutorService threads) throws IOException {
    this.target = target;
    this.threads = threads;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(ip, 0), 100);
    threads.execute(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  synchronized void setSilent(boolean update) {
    silent = update;
    notifyAll();
  }

  private synchronized void awaitPath() throws InterruptedException {
    while (silent) {
      wait();
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        sockets.add(near);
        threads.execute(() -> connect(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket near) {
    try {
      awaitPath();
      Socket far = new Socket(target.getAddress(), target.getPort());
      sockets.add(far);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      threads.execute(() -> copy(near, far));
      copy(far, near);
    } catch (IOException | InterruptedException e) {
      closeBoth(near, near);
    }
  }

  private void copy(Socket from, Socket to) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[16_384];
      int length;
      while ((length = in.read(buffer)) > 0) {
        awaitPath();
        out.write(buffer, 0, length);
      }
      awaitPath();
    } catch (IOException | InterruptedException e) {
      // Either end has closed the connection.
    } finally {
      closeBoth(from, to);
    }
  }

  private void closeBoth(Socket one, Socket other) {
    try {
      one.close();
      other.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
    sockets.remove(one);
    sockets.remove(other);
  }

  void close() {
    try {
      listener.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
    sockets.forEach(socket -> closeBoth(socket, socket));
  }
}
