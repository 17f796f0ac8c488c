import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session. */
final class Client implements AutoCloseable {

  private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

  private final Socket socket = new Socket();
  private final Line in;
  private final OutputStream out;

  /** Connects and opens a session. */
  Client(InetSocketAddress front, String database, String key, int timeoutMillis)
      throws IOException {
    try {
      socket.connect(front, timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      socket.setTcpNoDelay(true);
      in = new Line(socket.getInputStream());
      out = socket.getOutputStream();
      send("START " + database + " " + key);
      String answer = in.read();
      if (answer == null || !answer.startsWith("READY")) {
        throw new IOException("START was answered with " + answer);
      }
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  static String newId() {
    return Long.toHexString(IDS.incrementAndGet());
  }

  /** Sends a message without waiting for its answer. */
  void send(String message) throws IOException {
    out.write((message + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  void send(byte[] messages) throws IOException {
    out.write(messages);
    out.flush();
  }

  /** Sends a statement; returns its last message but READY, such as COMPLETE or ERROR. */
  String query(String text) throws IOException {
    send("QUERY " + newId() + " " + text);
    return answer();
  }

  /** Returns the answer to the oldest statement without one. */
  String answer() throws IOException {
    String answer = "";
    while (true) {
      String line = in.read();
      if (line == null) {
        throw new IOException("the connection ended without an answer");
      }
      if (line.startsWith("READY")) {
        return answer;
      }
      if (!line.startsWith("ROW")) {
        answer = line;
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
