package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session, as PROTOCOL.md describes it: one request at a time. */
final class Caller implements AutoCloseable {

  private static final AtomicLong IDS = new AtomicLong(System.nanoTime() << 16);

  /** The answer to a request; {@code code} is empty after a success. */
  record Answer(List<String> rows, String code, String text, char state) {
    boolean succeeded() {
      return code.isEmpty();
    }
  }

  private final Recorder record;
  private final Socket socket = new Socket();
  private final BufferedReader in;

  /** Connects and opens the session. */
  Caller(InetSocketAddress front, String database, String key, int timeLimitMillis, Recorder record)
      throws IOException {
    this.record = record;
    try {
      socket.connect(front, 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(2_000);
      in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      send("START " + database + " " + key);
      String line = readLine();
      if (!line.startsWith("READY")) {
        throw new IOException("START is answered with " + line);
      }
      socket.setSoTimeout(timeLimitMillis);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  static String nextId() {
    return String.format("%016x", IDS.incrementAndGet());
  }

  private void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  private String readLine() throws IOException {
    String line = in.readLine();
    if (line == null) {
      throw new IOException("the connection was closed");
    }
    return line;
  }

  /** Sends a request and waits for its whole answer. */
  Answer query(String id, String text) throws IOException {
    record.add("client sends " + id + " " + text);
    try {
      send("QUERY " + id + " " + text);
      List<String> rows = new ArrayList<>();
      String code = null;
      String detail = "";
      while (true) {
        String[] words = readLine().split(" ", 3);
        switch (words[0]) {
          case "ROW" -> rows.add(words.length > 1 ? words[1] : "");
          case "COMPLETE" -> code = "";
          case "ERROR" -> {
            code = words[1];
            detail = words.length > 2 ? words[2] : "";
          }
          case "READY" -> {
            if (code == null) {
              throw new IOException("READY without an answer");
            }
            record.add("client gets " + id + " " + (code.isEmpty() ? "success " + rows : code + " " + detail));
            return new Answer(rows, code, detail, words[1].charAt(0));
          }
          default -> throw new IOException("not understood: " + words[0]);
        }
      }
    } catch (IOException e) {
      record.add("client gets " + id + " no complete answer: " + e.getMessage());
      throw e;
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
  }
}
