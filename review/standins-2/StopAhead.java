import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients send reads with long answers ahead while a process is told to stop. Each read that a
 * database has run must get its whole answer.
 */
final class StopAhead {

  private static final int SESSIONS = 16;
  private static final int ROW_BYTES = 400_000;
  private static final int MOST_AHEAD = 16;
  private static final int INTERVAL_MILLIS = 100;
  private static final int READ_BYTES = 32_768;
  private static final int READ_PAUSE_MILLIS = 6;
  private static final int RECEIVE_BUFFER = 65_536;
  private static final double BEFORE_SECONDS = 3;
  private static final double STOP_SECONDS = 8;
  private static final int ROUNDS = 4;

  private StopAhead() {}

  public static void main(String[] arguments) {
    Case.main(arguments, StopAhead::run);
  }

  private static int run(Path record) throws Exception {
    Group.Load load = new Group.Load();
    load.workMillis = 5;
    try (Rig rig = new Rig(record, 2, load)) {
      Thread.sleep(3_000);
      try (Client client = new Client(rig.proxies.get(1).front, "orders", "key-ordinary", 3_000)) {
        String written = client.query("WRITE long " + "r".repeat(ROW_BYTES));
        rig.record.write("client", "WRITE of " + ROW_BYTES + " bytes: " + written);
      }
      Thread.sleep(500);
      int answered = 0;
      int cut = 0;
      for (int round = 0; round < ROUNDS; round++) {
        Proxy stopped = rig.proxies.get(round % rig.proxies.size());
        for (Session each : runWithStop(rig, stopped)) {
          each.stop();
          answered += each.answered;
          cut += each.cut ? 1 : 0;
        }
        if (Rig.hasTrouble()) {
          stopped.close();
          stopped.start();
          stopped.awaitReady(30);
        }
      }
      rig.record.write(
          "verdict",
          answered + " answers were whole; " + cut + " of " + SESSIONS * ROUNDS
              + " sessions ended within an answer");
      if (answered < SESSIONS) {
        return Rig.NOT_RUN;
      }
      rig.record.write("verdict", cut > 0 ? "BROKEN" : "HELD");
      return cut > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }

  private static List<Session> runWithStop(Rig rig, Proxy stopped) throws Exception {
    List<Session> sessions = new ArrayList<>();
    for (int i = 0; i < SESSIONS; i++) {
      String key = i % 2 == 0 ? "key-crowd" : "key-ordinary";
      sessions.add(new Session(rig, stopped.name + " session " + i, stopped.front, key));
    }
    for (Session each : sessions) {
      each.start();
      Thread.sleep(INTERVAL_MILLIS / SESSIONS);
    }
    Thread.sleep((long) (BEFORE_SECONDS * 1_000));
    if (Rig.hasTrouble()) {
      stopped.terminate();
    }
    Thread.sleep((long) (STOP_SECONDS * 1_000));
    return sessions;
  }

  /** A client's session; it sends whether or not the answers before have arrived. */
  private static final class Session {
    private final Rig rig;
    private final String name;
    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;
    private final List<String> unanswered = new ArrayList<>();
    private final Thread reader = new Thread(this::read);
    private final Thread writer = new Thread(this::write);
    private volatile boolean stopped;
    private volatile int answered;
    private volatile boolean cut;

    Session(Rig rig, String name, InetSocketAddress front, String key) throws IOException {
      this.rig = rig;
      this.name = name;
      socket.setReceiveBufferSize(RECEIVE_BUFFER);
      socket.setTcpNoDelay(true);
      socket.connect(front, 3_000);
      in = socket.getInputStream();
      out = socket.getOutputStream();
      send("START stock " + key);
      StringBuilder first = new StringBuilder();
      while (first.indexOf("\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          throw new IOException("START was not answered");
        }
        first.append((char) next);
      }
    }

    void start() {
      for (Thread each : List.of(reader, writer)) {
        each.setDaemon(true);
        each.start();
      }
    }

    private void send(String message) throws IOException {
      out.write((message + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    private void write() {
      try {
        while (!stopped) {
          String id = null;
          synchronized (unanswered) {
            if (unanswered.size() < MOST_AHEAD) {
              id = Client.newId();
              unanswered.add(id);
            }
          }
          if (id != null) {
            send("QUERY " + id + " READ long");
          }
          Thread.sleep(INTERVAL_MILLIS);
        }
      } catch (IOException | InterruptedException e) {
        // The process has closed the connection.
      }
    }

    /** Reads some megabytes a second. */
    private void read() {
      byte[] bytes = new byte[READ_BYTES];
      StringBuilder line = new StringBuilder();
      boolean inAnswer = false;
      String end = "the connection has ended";
      try {
        while (!stopped) {
          int count = in.read(bytes);
          if (count < 0) {
            break;
          }
          line.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
          for (int at = line.indexOf("\r\n"); at >= 0; at = line.indexOf("\r\n")) {
            String message = line.substring(0, at);
            line.delete(0, at + 2);
            inAnswer = !message.startsWith("READY");
            if (!inAnswer) {
              synchronized (unanswered) {
                unanswered.remove(0);
              }
              answered++;
            }
          }
          Thread.sleep(READ_PAUSE_MILLIS);
        }
      } catch (IOException e) {
        end = String.valueOf(e.getMessage());
      } catch (InterruptedException e) {
        return;
      }
      if (!stopped) {
        boolean within = inAnswer || line.length() > 0;
        synchronized (unanswered) {
          cut = within && rig.first.ranIds.contains(unanswered.get(0));
          rig.record.write(
              name,
              end + " after " + answered + " answers"
                  + (cut
                      ? ", with " + line.length() + " bytes of the answer to " + unanswered.get(0)
                          + ", which a database has run"
                      : "")
                  + "; sent without an answer: " + unanswered);
        }
      }
    }

    void stop() throws IOException {
      stopped = true;
      socket.close();
    }
  }
}
