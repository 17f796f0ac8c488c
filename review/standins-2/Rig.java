import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: the platform, two services of three databases, and processes of the project. */
final class Rig implements AutoCloseable {

  /** Exit codes of a script. */
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  final Record record;
  final Platform platform;
  final Group first;
  final Group second;
  final List<Proxy> proxies = new ArrayList<>();
  private final Path folder = Files.createTempDirectory("review-2-");

  Rig(Path recordFile, int processes, Group.Load load) throws IOException, InterruptedException {
    record = new Record(recordFile);
    platform = new Platform(record);
    platform.put("config", "main", configuration());
    first = new Group("first", 3, ZONES, platform, record, load);
    second = new Group("second", 3, ZONES, platform, record, new Group.Load());
    for (int i = 0; i < processes; i++) {
      Proxy proxy = new Proxy("edge-" + i, ZONES.get(i % ZONES.size()), platform, folder, record);
      proxies.add(proxy);
      proxy.start();
    }
    for (Proxy each : proxies) {
      each.awaitReady(40);
    }
  }

  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  private static Map<String, Object> route(
      String database, String kind, String service, boolean open) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", "r-" + database);
    route.put("host", database);
    route.put("path_prefix", "/");
    route.put("route_type", kind);
    route.put("timeout_ms", kind.equals("bounded_staleness") ? 1_500L : 800L);
    route.put("target_latency_ms", kind.equals("bounded_staleness") ? 400L : 200L);
    route.put("priority", 2L);
    route.put("service", service);
    route.put("max_attempts", 2L);
    route.put("max_staleness_ms", kind.equals("primary") ? 0L : kind.equals("bounded_staleness") ? 1_500L : 2_500L);
    route.put("allow_anonymous", open);
    return route;
  }

  private static Map<String, Object> service(String name) {
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", name);
    service.put("health_path", "/health");
    service.put("max_conns", 16L);
    service.put("sync_replicas", 0L);
    return service;
  }

  private static Map<String, Object> tenant(String name, String key) {
    Map<String, Object> tenant = new LinkedHashMap<>();
    tenant.put("name", name);
    tenant.put("api_keys", List.of(key));
    tenant.put("priority", 1L);
    tenant.put("rate_per_s", 85L);
    tenant.put("burst", 85L);
    return tenant;
  }

  private static Map<String, Object> configuration() {
    Map<String, Object> configuration = new LinkedHashMap<>();
    configuration.put("version", 7L);
    configuration.put(
        "routes",
        List.of(
            route("orders", "primary", "first", false),
            route("stock", "bounded_staleness", "first", false),
            route("prices", "read_your_writes", "first", false),
            route("board", "bounded_staleness", "first", true),
            route("ledger", "primary", "second", false)));
    configuration.put("services", List.of(service("first"), service("second")));
    configuration.put("limits", Map.of("tx_idle_ms", 3_000L));
    configuration.put("tenants", List.of(tenant("ordinary", "key-ordinary"), tenant("crowd", "key-crowd")));
    return configuration;
  }

  @Override
  public void close() throws Exception {
    for (Proxy each : proxies) {
      each.close();
    }
    first.close();
    second.close();
    platform.close();
    record.close();
    try (var files = Files.list(folder)) {
      for (Path each : files.toList()) {
        Files.deleteIfExists(each);
      }
    }
    Files.deleteIfExists(folder);
  }
}
