package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** One database of a service, as PROTOCOL.md describes it. Does all that it is asked, in order. */
final class Database {

  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final AtomicInteger CONNECTIONS = new AtomicInteger();

  /** A client's statement that a database has run. */
  record Run(String id, String text, String database, Map<String, String> values, double at) {}

  final String id;
  final Group group;
  final List<Group.Commit> log = new ArrayList<>();
  int applied;
  /** Receives nothing from the primary. */
  volatile boolean deaf;
  /** Share of the requests that are refused with BUSY and not run. */
  volatile double busyShare;
  /** Time that a read, a write or a commit takes. */
  volatile int workMillis = 5;

  private final String zone;
  private final Store store;
  private final Recorder record;
  private final ServerSocket listener;
  private final long born = System.currentTimeMillis();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<Run> runs = new ArrayList<>();
  private volatile boolean running = true;
  private volatile boolean primary;
  private long sequence;

  Database(String id, Group group, InetAddress ip, String zone, Store store, Recorder record,
      boolean primary) throws IOException {
    this.id = id;
    this.group = group;
    this.zone = zone;
    this.store = store;
    this.record = record;
    this.primary = primary;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(ip, 0), 100);
    start(this::accept, "accept-" + id);
    start(this::heartbeat, "beat-" + id);
  }

  private static void start(Runnable action, String name) {
    Thread thread = new Thread(action, name);
    thread.setDaemon(true);
    thread.start();
  }

  boolean isPrimary() {
    return primary;
  }

  boolean isRunning() {
    return running;
  }

  /** Becomes the primary or a replica, and reports it at once. */
  void follow(boolean leads) {
    boolean changed = primary != leads;
    primary = leads;
    if (changed && running) {
      report();
    }
  }

  private synchronized void report() {
    if (running) {
      store.write("servers", id, Json.map(
          "service", group.name,
          "address", listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort(),
          "zone", zone, "version", "v1", "slots", 2, "state", "ready", "cold_left_ms", 0,
          "db_role", primary ? "primary" : "replica", "seq_no", ++sequence, "born", born));
    }
  }

  private void heartbeat() {
    try {
      while (running) {
        report();
        Thread.sleep(HEARTBEAT_MILLIS);
      }
      Thread.sleep(3 * HEARTBEAT_MILLIS);
      store.remove("servers", id);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the process: its connections are reset, its port is closed, its entry expires later. */
  void crash() {
    running = false;
    record.say(id + " of " + group.name + " crashes");
    close();
  }

  void close() {
    running = false;
    try {
      listener.close();
      for (Socket socket : sockets) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    } catch (IOException e) {
      record.add(id + " could not close a socket: " + e);
    }
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  private synchronized void addRun(Run run) {
    runs.add(run);
  }

  private void accept() {
    while (running) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        start(() -> serve(socket), "connection-" + id);
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      new Connection(socket).serve();
    } catch (IOException e) {
      // The far end or this database has ended the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  private record Prepared(String effect, String shape) {}

  /** A database session. */
  private final class Connection {
    private final int number = CONNECTIONS.incrementAndGet();
    private final BufferedReader in;
    private final OutputStream out;
    private final Map<String, String> values = new TreeMap<>();
    private final Map<String, Prepared> prepared = new HashMap<>();
    private final Map<String, String> writes = new HashMap<>();
    private String tenant = "";
    private char state = 'I';
    private boolean plain;

    Connection(Socket socket) throws IOException {
      in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      out = socket.getOutputStream();
    }

    void serve() throws IOException, InterruptedException {
      String line;
      while ((line = in.readLine()) != null) {
        String[] words = line.split(" ", 3);
        if (words[0].equals("START")) {
          if (!start(line.split(" "))) {
            return;
          }
        } else if (words[0].equals("QUERY") && words.length == 3) {
          answer(words[1], words[2]);
        } else {
          return;
        }
      }
    }

    private boolean start(String[] words) throws IOException {
      boolean known = words[1].equals(group.name) && (words.length < 4 || words[3].equals(id));
      tenant = words[2];
      if (!known) {
        write("ERROR WRONGNODE " + id);
        return false;
      }
      ready();
      return true;
    }

    private void write(String line) throws IOException {
      if (!running) {
        throw new IOException("the database has ended");
      }
      out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private void ready() throws IOException {
      synchronized (group) {
        write("READY " + state + " " + group.term() + "." + applied);
      }
      out.flush();
    }

    private void complete(String proof) throws IOException {
      write("COMPLETE " + proof);
      ready();
    }

    private void fail(String code) throws IOException {
      if (state == 'T') {
        state = 'E';
      }
      write("ERROR " + code + " " + id);
      ready();
    }

    private void answer(String queryId, String text) throws IOException, InterruptedException {
      boolean refused = busyShare > 0 && ThreadLocalRandom.current().nextDouble() < busyShare;
      if (refused) {
        record.add("db " + id + " c" + number + " refuses with BUSY, not run: " + queryId + " " + text);
        write("ERROR BUSY " + id);
        ready();
        return;
      }
      String[] words = text.split(" ");
      if (state == 'E' && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
        fail("MALFORMED");
        return;
      }
      if (words[0].equals("AFTER")) {
        if (!contains(words[1])) {
          fail("LAGGING");
          return;
        }
        text = text.split(" ", 3)[2];
        words = text.split(" ");
      }
      switch (words[0]) {
        case "SET" -> {
          values.put(words[1], text.split(" ", 3).length > 2 ? text.split(" ", 3)[2] : "");
          complete("-");
        }
        case "RESET" -> {
          values.clear();
          prepared.clear();
          complete("-");
        }
        case "PREPARE" -> {
          prepared.put(words[1], new Prepared(words[2], text.split(" ", 4)[3]));
          complete("-");
        }
        case "DEALLOC" -> {
          prepared.remove(words[1]);
          complete("-");
        }
        case "BEGIN" -> begin(text.equals("BEGIN READ"));
        case "ROLLBACK" -> {
          state = 'I';
          writes.clear();
          complete("-");
        }
        case "COMMIT" -> commit(queryId);
        case "READ" -> run(queryId, text, "READ", words[1], "");
        case "WRITE" -> run(queryId, text, "WRITE", words[1], text.split(" ", 3)[2]);
        case "EXECUTE" -> {
          Prepared named = prepared.get(words[1]);
          if (named == null) {
            fail("NOSUCHSTMT");
          } else {
            String[] parts = text.split(" ", 4);
            run(queryId, text, named.effect, words[2], parts.length > 3 ? parts[3] : "");
          }
        }
        default -> fail("MALFORMED");
      }
    }

    private boolean contains(String position) {
      String[] parts = position.split("\\.");
      synchronized (group) {
        return Long.parseLong(parts[0]) == group.term() && Integer.parseInt(parts[1]) <= applied;
      }
    }

    private void begin(boolean readOnly) throws IOException {
      if (!readOnly && !primary) {
        fail("READONLY");
        return;
      }
      state = 'T';
      plain = !readOnly;
      writes.clear();
      complete("-");
    }

    private void run(String queryId, String text, String effect, String item, String data)
        throws IOException, InterruptedException {
      boolean writing = effect.equals("WRITE");
      if (!primary && (writing || (state == 'T' && plain))) {
        fail("READONLY");
        return;
      }
      record.add("db " + id + " c" + number + " runs " + queryId + " " + text + " for " + tenant
          + " with " + values + " in state " + state);
      addRun(new Run(queryId, text, id, Map.copyOf(values), record.seconds()));
      Thread.sleep(workMillis);
      if (!writing) {
        write("ROW " + read(item));
      } else if (state == 'T') {
        writes.put(item, data);
      } else if (group.commit(Database.this, queryId, Map.of(item, data)) == null) {
        throw new IOException("ended or lost the lead within a commit");
      }
      complete(proof());
    }

    private String read(String item) {
      synchronized (group) {
        for (int i = applied - 1; i >= 0; i--) {
          String data = log.get(i).writes.get(item);
          if (data != null) {
            return data;
          }
        }
      }
      return "none";
    }

    private void commit(String queryId) throws IOException, InterruptedException {
      if (state != 'T') {
        state = 'I';
        writes.clear();
        fail("ABORTED");
        return;
      }
      if (!writes.isEmpty() && !primary) {
        state = 'I';
        writes.clear();
        fail("READONLY");
        return;
      }
      addRun(new Run(queryId, "COMMIT", id, Map.copyOf(values), record.seconds()));
      record.add("db " + id + " c" + number + " runs " + queryId + " COMMIT for " + tenant);
      Thread.sleep(workMillis);
      if (!writes.isEmpty() && group.commit(Database.this, queryId, writes) == null) {
        throw new IOException("ended or lost the lead within a commit");
      }
      state = 'I';
      writes.clear();
      complete(proof());
    }

    private String proof() {
      return id + "." + Long.toHexString(ThreadLocalRandom.current().nextLong());
    }
  }
}
