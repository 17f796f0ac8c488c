package review;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the project's processes, started with the command of
 * the deploy file, and stand-ins of the store, the platform and the databases.
 */
final class Fleet implements AutoCloseable {

  /** Time from SIGTERM to SIGKILL, as in the small deployments. */
  static final int GRACE_SECONDS = 6;

  /** A call to promote a database, as the platform has received it. */
  record Order(String service, String id, String holder, long token, int status, double at) {}

  /** The port on which the project's processes serve metrics, so that it has to be free anyway. */
  private static final int LOCK_PORT = 9464;

  private static final String TEMPLATE = "deploy/settings.template.json";

  final Recorder record;
  final ExecutorService threads = daemonThreads();
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Fleet::daemon);
  final Store store;
  final List<Proxy> proxies = new ArrayList<>();
  final Map<String, Group> groups = new LinkedHashMap<>();
  final List<Order> orders = new ArrayList<>();
  private final List<Relay> relays = new ArrayList<>();
  private final HttpServer cloud;
  private final boolean checksFences;
  private final Map<String, Long> seenTokens = new LinkedHashMap<>();
  private final Path folder;
  private final ServerSocket networkLock = lockNetwork();
  private final int network = networkLock.getInetAddress().getAddress()[1] & 0xff;
  private int hosts;

  Fleet(Recorder record, boolean checksFences) throws IOException {
    this.record = record;
    this.checksFences = checksFences;
    folder = Files.createTempDirectory("review");
    store = new Store(nextIp(), threads);
    cloud = HttpServer.create(new InetSocketAddress(nextIp(), 0), 50);
    cloud.setExecutor(threads);
    cloud.createContext("/promotion", exchange -> {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      int status = order(
          exchange.getRequestHeaders().getFirst("Duty-Holder"),
          Long.parseLong(exchange.getRequestHeaders().getFirst("Fence-Token")),
          Json.parseMap(body));
      exchange.sendResponseHeaders(status, -1);
      exchange.close();
    });
    cloud.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** Chooses a part of the loopback range that no other run of a case uses at the same time. */
  private static ServerSocket lockNetwork() throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      byte network = (byte) ThreadLocalRandom.current().nextInt(1, 250);
      ServerSocket lock = new ServerSocket();
      try {
        lock.bind(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, network, 100, 1}), LOCK_PORT));
        return lock;
      } catch (IOException e) {
        lock.close();
      }
    }
    throw new IOException("no free part of the loopback range was found");
  }

  private static Thread daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  private static ExecutorService daemonThreads() {
    return Executors.newCachedThreadPool(Fleet::daemon);
  }

  InetAddress nextIp() throws IOException {
    hosts++;
    return InetAddress.getByAddress(
        new byte[] {127, (byte) network, (byte) (hosts / 200), (byte) (1 + hosts % 200)});
  }

  private synchronized int order(String holder, long token, Map<String, Object> body) {
    String service = (String) body.get("service");
    String id = (String) body.get("id");
    long seen = seenTokens.getOrDefault(service, Long.MIN_VALUE);
    boolean accepted = !(checksFences && token < seen);
    if (accepted) {
      accepted = groups.get(service).promote(id, holder, token);
    }
    seenTokens.merge(service, token, Math::max);
    int status = accepted ? 200 : 409;
    orders.add(new Order(service, id, holder, token, status, record.seconds()));
    record.say("POST /promotion " + service + " " + id + " by " + holder + " token " + token
        + " (highest seen before: " + (seen == Long.MIN_VALUE ? "none" : seen) + ") -> " + status);
    return status;
  }

  synchronized List<Order> orders() {
    return List.copyOf(orders);
  }

  /** Adds a service with three databases in the first three zones. */
  Group addGroup(String name, int syncReplicas, List<String> ids, List<String> zones)
      throws IOException {
    Group group = new Group(name, syncReplicas, timer, record);
    for (int i = 0; i < ids.size(); i++) {
      group.add(ids.get(i), nextIp(), zones.get(i % zones.size()), store);
    }
    groups.put(name, group);
    return group;
  }

  /** Writes the configuration as the operator does. */
  void writeConfiguration(List<Map<String, Object>> routes, List<Map<String, Object>> tenants) {
    List<Object> services = new ArrayList<>();
    for (Group group : groups.values()) {
      services.add(Json.map("name", group.name, "max_conns", 16, "sync_replicas", group.syncReplicas));
    }
    store.write("config", "main", Json.map(
        "version", 7, "routes", routes, "services", services, "tenants", tenants,
        "limits", Json.map("tx_idle_ms", 3_000)));
  }

  static Map<String, Object> route(
      String host, String service, String kind, int timeoutMillis, int stalenessMillis) {
    return Json.map(
        "name", "r-" + host, "host", host, "path_prefix", "/", "route_type", kind,
        "timeout_ms", timeoutMillis, "target_latency_ms", 400, "priority", 1, "service", service,
        "max_attempts", 2, "max_staleness_ms", stalenessMillis, "allow_anonymous", false);
  }

  static Map<String, Object> tenant(String name, String key) {
    return Json.map("name", name, "api_keys", List.of(key), "rate_per_s", 1_000, "burst", 1_000);
  }

  /** One process of the project. */
  final class Proxy {
    final String name;
    final String zone;
    final InetSocketAddress front;
    final Relay storeRelay;
    private final InetSocketAddress ready;
    private final Path settings;
    private Process process;
    volatile double stoppedAt = Double.NaN;

    private Proxy(String name, String zone) throws IOException {
      this.name = name;
      this.zone = zone;
      InetAddress ip = nextIp();
      front = new InetSocketAddress(ip, freePort(ip));
      ready = new InetSocketAddress(ip, freePort(ip));
      storeRelay = new Relay(nextIp(), store.address(), threads);
      relays.add(storeRelay);
      settings = folder.resolve(name + ".json");
      Map<String, Object> values = Json.map(
          "node_id", name, "zone", zone, "ip", ip.getHostAddress(),
          "listen.front", text(front), "listen.ready", text(ready),
          "internal_ports.0", String.valueOf(freePort(ip)),
          "platform.address", text(storeRelay.address()),
          "cloud.address", text(cloud.getAddress()), "bounds.grace_s", GRACE_SECONDS);
      Files.writeString(settings, render(Files.readString(Path.of(TEMPLATE)), values));
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command());
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("OLEANDERSTEP_BOOT", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = builder.start();
      record.add(name + " starts as process " + process.pid() + ", " + text(front));
    }

    /** Sends SIGTERM, and SIGKILL after the grace period, and starts the process again. */
    void restartGracefully() {
      stoppedAt = record.seconds();
      record.say("SIGTERM to " + name);
      process.destroy();
      threads.execute(() -> {
        try {
          if (!process.waitFor(GRACE_SECONDS, java.util.concurrent.TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
          }
          record.say(name + " has ended, " + (record.seconds() - stoppedAt) + " s after SIGTERM");
          Thread.sleep(500);
          start();
        } catch (InterruptedException | IOException e) {
          record.say(name + " is not started again: " + e);
        }
      });
    }

    boolean isReady() {
      try {
        HttpURLConnection call = (HttpURLConnection)
            URI.create("http://" + text(ready) + "/oleanderstep/readiness").toURL().openConnection();
        call.setConnectTimeout(900);
        call.setReadTimeout(900);
        return call.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    private void end() {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  Proxy addProxy(String name, String zone) throws IOException {
    Proxy proxy = new Proxy(name, zone);
    proxies.add(proxy);
    return proxy;
  }

  /** Starts all processes and waits until they are ready; returns false if they are not in time. */
  boolean startProxies() throws IOException, InterruptedException {
    for (Proxy proxy : proxies) {
      proxy.start();
    }
    for (int i = 0; i < 300; i++) {
      if (proxies.stream().allMatch(Proxy::isReady)) {
        // The start before traffic: every VM learns of the others.
        Thread.sleep(3_000);
        return true;
      }
      Thread.sleep(100);
    }
    record.say("the processes are not ready after 30 s");
    for (Proxy proxy : proxies) {
      if (!proxy.isReady()) {
        record.say(proxy.name + " says: " + Files.readString(folder.resolve(proxy.name + ".log")));
      }
    }
    return false;
  }

  private static List<String> command() throws IOException {
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
        .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    return Arrays.asList(run.group(1).split(" "));
  }

  private static String render(String template, Map<String, Object> values) {
    Matcher placeholder = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}").matcher(template);
    return placeholder.replaceAll(found -> {
      Object value = values.get(found.group(1));
      String text = found.group(2) == null ? String.valueOf(value) : Json.write(value);
      return Matcher.quoteReplacement(text);
    });
  }

  private static int freePort(InetAddress ip) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, 0));
      return socket.getLocalPort();
    }
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void endProcesses() {
    proxies.forEach(Proxy::end);
  }

  @Override
  public void close() {
    endProcesses();
    relays.forEach(Relay::close);
    groups.values().forEach(group -> group.databases.forEach(Database::close));
    cloud.stop(0);
    store.stop();
    timer.shutdownNow();
    threads.shutdownNow();
    try {
      networkLock.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
    deleteLogs();
  }

  private void deleteLogs() {
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs in " + folder);
      return;
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException e) {
      System.out.println("left behind: " + folder);
    }
  }
}
