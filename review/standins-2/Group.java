import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of a service: a primary and replicas that are always well. Replicas apply each commit
 * after a fixed lag. Nothing is promoted.
 */
final class Group implements AutoCloseable {

  /** What the cases may set; the defaults are those of the small deployment. */
  static final class Load {
    int slots = 2;
    int maxConnections = 16;
    int queue = 16;
    int workMillis = 14;
    int connectMillis = 12;
    int lagMillis = 60;
  }

  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final long TERM = 3;

  private record Commit(long number, long atNanos) {}

  private final String service;
  private final Platform platform;
  private final Record record;
  private final Load load;
  private final List<Member> members = new ArrayList<>();
  private final List<Commit> log = new ArrayList<>();
  private final Map<String, TreeMap<Long, String>> items = new HashMap<>();
  private final AtomicLong proofs = new AtomicLong();
  private final long bornAt = System.currentTimeMillis();
  private final ScheduledExecutorService beats = Executors.newSingleThreadScheduledExecutor();
  private long number = 1_000;
  private volatile boolean closed;

  /** The ids of the callers' statements that were run. */
  final Set<String> ranIds = ConcurrentHashMap.newKeySet();

  /** Counts the caller's statements that were run. */
  final AtomicLong runs = new AtomicLong();

  /** Until when the databases have no slot for a statement, in System.nanoTime(). */
  volatile long busyUntil = System.nanoTime();

  /** The part of the requests run by the primary whose answer is lost. */
  volatile double lostAnswers;

  /** Whether each run is written to the record. */
  volatile boolean recordsRuns = true;

  Group(String service, int size, List<String> zones, Platform platform, Record record, Load load)
      throws IOException {
    this.service = service;
    this.platform = platform;
    this.record = record;
    this.load = load;
    for (int i = 0; i < size; i++) {
      Member member = new Member("i-" + service + i, zones.get(i % zones.size()), i == 0);
      members.add(member);
      Thread accepting = new Thread(member::accept, "accept " + member.id);
      accepting.setDaemon(true);
      accepting.start();
    }
    beats.scheduleAtFixedRate(this::report, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void report() {
    members.forEach(Member::report);
  }

  private synchronized long commit(Map<String, String> writes) {
    if (writes.isEmpty()) {
      return number;
    }
    number++;
    writes.forEach((item, data) -> items.computeIfAbsent(item, i -> new TreeMap<>()).put(number, data));
    log.add(new Commit(number, System.nanoTime()));
    return number;
  }

  private synchronized long position(boolean primary) {
    if (primary) {
      return number;
    }
    long applied = 1_000;
    for (int i = log.size() - 1; i >= 0; i--) {
      if (System.nanoTime() - log.get(i).atNanos >= load.lagMillis * 1_000_000L) {
        applied = log.get(i).number;
        break;
      }
    }
    return applied;
  }

  /** Returns the last committed value of an item; empty if there is none. */
  synchronized String lastValue(String item) {
    TreeMap<Long, String> values = items.get(item);
    return values == null ? "" : values.lastEntry().getValue();
  }

  private synchronized String valueAt(String item, long position) {
    Map.Entry<Long, String> found = items.getOrDefault(item, new TreeMap<>()).floorEntry(position);
    return found == null ? "none" : found.getValue();
  }

  /** One database. */
  final class Member {
    final String id;
    final boolean primary;
    private final String zone;
    private final ServerSocket server;
    private final Semaphore slots = new Semaphore(load.slots, true);
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicLong beat = new AtomicLong();
    private final Set<Socket> open = new HashSet<>();

    Member(String id, String zone, boolean primary) throws IOException {
      this.id = id;
      this.zone = zone;
      this.primary = primary;
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(Loopback.withFreePort(Loopback.find()), 128);
    }

    private void report() {
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("service", service);
      entry.put("address", Loopback.text((InetSocketAddress) server.getLocalSocketAddress()));
      entry.put("zone", zone);
      entry.put("version", "v1");
      entry.put("slots", (long) load.slots);
      entry.put("state", "ready");
      entry.put("cold_left_ms", 0L);
      entry.put("db_role", primary ? "primary" : "replica");
      entry.put("seq_no", beat.incrementAndGet());
      entry.put("born", bornAt);
      platform.put("servers", id, entry);
    }

    private void accept() {
      while (!closed) {
        try {
          Socket socket = server.accept();
          Thread serving = new Thread(() -> serve(socket), id);
          serving.setDaemon(true);
          serving.start();
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      synchronized (open) {
        open.add(socket);
      }
      connections.incrementAndGet();
      try (socket) {
        socket.setTcpNoDelay(true);
        new Connection(this, socket).run();
      } catch (IOException | InterruptedException e) {
        // The caller has left.
      } finally {
        connections.decrementAndGet();
        synchronized (open) {
          open.remove(socket);
        }
      }
    }

    /** Works for a while in a slot; returns false if too many wait for one. */
    private boolean work(int millis) throws InterruptedException {
      if (busyUntil - System.nanoTime() > 0) {
        return false;
      }
      if (!slots.tryAcquire()) {
        if (waiting.get() >= load.queue) {
          return false;
        }
        waiting.incrementAndGet();
        try {
          slots.acquire();
        } finally {
          waiting.decrementAndGet();
        }
      }
      try {
        Thread.sleep(millis);
        return true;
      } finally {
        slots.release();
      }
    }

    private void close() throws IOException {
      server.close();
      synchronized (open) {
        for (Socket each : open) {
          each.close();
        }
      }
    }
  }

  /** One connection to a database. */
  private final class Connection {
    private final Member member;
    private final Line in;
    private final OutputStream out;
    private final Map<String, String> shapes = new HashMap<>();
    private String tenant = "";
    private Map<String, String> writes;
    private boolean readOnly;
    private char state = 'I';

    Connection(Member member, Socket socket) throws IOException {
      this.member = member;
      in = new Line(socket.getInputStream());
      out = socket.getOutputStream();
    }

    private void send(String... messages) throws IOException {
      StringBuilder text = new StringBuilder();
      for (String each : messages) {
        text.append(each).append("\r\n");
      }
      out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    private String ready() {
      return "READY " + state + " " + TERM + "." + position(member.primary);
    }

    void run() throws IOException, InterruptedException {
      String first = in.read();
      if (first == null) {
        return;
      }
      String[] start = first.split(" ", 4);
      boolean known = start.length >= 3 && start[0].equals("START") && start[1].equals(service);
      if (!known || (start.length == 4 && !start[3].equals(member.id))) {
        send("ERROR WRONGNODE " + member.id);
        return;
      }
      tenant = start[2];
      if (member.connections.get() > load.maxConnections) {
        send("ERROR CONNLIMIT " + member.id);
        return;
      }
      member.work(load.connectMillis);
      send(ready());
      for (String line = in.read(); line != null; line = in.read()) {
        if (line.equals("CLOSE")) {
          return;
        }
        String[] fields = line.split(" ", 3);
        if (fields.length < 3 || !fields[0].equals("QUERY")) {
          send("ERROR MALFORMED -");
          return;
        }
        query(fields[1], fields[2]);
      }
    }

    private void refuse(String code) throws IOException {
      if (state == 'T' && !code.equals("BUSY")) {
        state = 'E';
      }
      send("ERROR " + code + " " + member.id, ready());
    }

    private void done() throws IOException {
      send("COMPLETE -", ready());
    }

    private String proof() {
      return TERM + ".p" + proofs.incrementAndGet();
    }

    private void query(String id, String text) throws IOException, InterruptedException {
      String rest = text;
      if (rest.startsWith("AFTER ")) {
        String[] parts = rest.split(" ", 3);
        rest = parts[2];
        long wanted = Long.parseLong(parts[1].substring(parts[1].indexOf('.') + 1));
        if (position(member.primary) < wanted) {
          refuse("LAGGING");
          return;
        }
      }
      String[] words = rest.split(" ", 4);
      if (state == 'E' && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
        refuse("MALFORMED");
        return;
      }
      switch (words[0]) {
        case "BEGIN" -> begin(words.length > 1);
        case "ROLLBACK" -> {
          writes = null;
          state = 'I';
          done();
        }
        case "COMMIT" -> commit(id);
        case "RESET" -> {
          shapes.clear();
          done();
        }
        case "SET" -> done();
        case "PREPARE" -> {
          shapes.put(words[1], words[2]);
          done();
        }
        case "DEALLOC" -> {
          shapes.remove(words[1]);
          done();
        }
        case "EXECUTE" -> {
          String kind = shapes.get(words[1]);
          if (kind == null) {
            refuse("NOSUCHSTMT");
          } else {
            run(id, kind, words[2], words.length > 3 ? words[3] : "");
          }
        }
        case "READ", "WRITE" -> run(id, words[0], words[1], words.length > 2 ? words[2] : "");
        case "STATUS" ->
            send(
                "ROW " + (member.primary ? "primary " : "replica ") + TERM + " " + TERM + "."
                    + position(member.primary) + " 0 0 0 " + member.connections.get(),
                "COMPLETE -",
                ready());
        default -> refuse("MALFORMED");
      }
    }

    private void begin(boolean onlyReads) throws IOException {
      if (!onlyReads && !member.primary) {
        refuse("READONLY");
        return;
      }
      readOnly = onlyReads;
      writes = new LinkedHashMap<>();
      state = 'T';
      done();
    }

    private void commit(String id) throws IOException, InterruptedException {
      if (state != 'T') {
        writes = null;
        state = 'I';
        refuse("MALFORMED");
        return;
      }
      if (!member.work(load.workMillis)) {
        refuse("BUSY");
        return;
      }
      long at = Group.this.commit(writes);
      note(id, "COMMIT of " + writes.size() + " writes at " + TERM + "." + at);
      writes = null;
      state = 'I';
      if (isLost(id)) {
        return;
      }
      send("COMPLETE " + proof(), ready());
    }

    private void run(String id, String kind, String item, String data)
        throws IOException, InterruptedException {
      if (kind.equals("WRITE") && (!member.primary || (state == 'T' && readOnly))) {
        refuse("READONLY");
        return;
      }
      if (!member.work(load.workMillis)) {
        refuse("BUSY");
        return;
      }
      note(id, kind + " " + item + " " + data);
      if (isLost(id)) {
        if (kind.equals("WRITE") && state == 'T') {
          writes.put(item, data);
        } else if (kind.equals("WRITE")) {
          Group.this.commit(Map.of(item, data));
        }
        return;
      }
      if (kind.equals("READ")) {
        String value = valueAt(item, position(member.primary));
        send("ROW " + value, "COMPLETE " + proof(), ready());
        return;
      }
      if (state == 'T') {
        writes.put(item, data);
      } else {
        Group.this.commit(Map.of(item, data));
      }
      send("COMPLETE " + proof(), ready());
    }

    private boolean isLost(String id) {
      boolean lost = member.primary && Math.random() < lostAnswers;
      if (lost) {
        record.write(member.id, "the answer to " + id + " is lost");
      }
      return lost;
    }

    private void note(String id, String what) {
      runs.incrementAndGet();
      ranIds.add(id);
      if (recordsRuns) {
        String shortId = id.length() > 40 ? id.substring(0, 40) + "...(" + id.length() + ")" : id;
        record.write(member.id, "runs " + shortId + " of " + tenant + ": " + what);
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    beats.shutdownNow();
    for (Member each : members) {
      each.close();
    }
  }
}
