import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiFunction;

/** Stand-in of the platform: the store of objects, and the call that promotes a database. */
final class Platform implements AutoCloseable {

  private record Event(long revision, String kind, Map<String, Object> object, boolean deleted) {}

  private static final int PAGE = 500;

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Record record;
  private long revision = 100;

  /** Answers a promotion: gets service and id, returns the status. */
  volatile BiFunction<String, String, Integer> promotion = (service, id) -> 409;

  Platform(Record record) throws IOException {
    this.record = record;
    server = HttpServer.create(Loopback.withFreePort(Loopback.find()), 256);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** Writes an object, as the operator or a database does. */
  synchronized void put(String kind, String name, Object spec) {
    store(kind, name, spec);
  }

  private Map<String, Object> store(String kind, String name, Object spec) {
    TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    Map<String, Object> old = objects.get(name);
    if (old != null && Json.print(old.get("spec")).equals(Json.print(spec))) {
      return old;
    }
    revision++;
    Map<String, Object> meta = new LinkedHashMap<>();
    meta.put("name", name);
    meta.put("revision", revision);
    meta.put("created_rev", old == null ? revision : Json.object(old.get("meta")).get("created_rev"));
    meta.put("finalizers", List.of());
    meta.put("deleting", false);
    Map<String, Object> object = new LinkedHashMap<>();
    object.put("meta", meta);
    object.put("spec", spec);
    object.put("status", null);
    objects.put(name, object);
    events.add(new Event(revision, kind, object, false));
    notifyAll();
    return object;
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        query.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return query;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String[] path = exchange.getRequestURI().getPath().split("/");
      if (exchange.getRequestURI().getPath().equals("/promotion")) {
        promote(exchange, Json.object(Json.parse(body)));
      } else if (exchange.getRequestMethod().equals("GET")) {
        read(exchange, path, query(exchange));
      } else {
        write(exchange, path, body);
      }
    } catch (RuntimeException | InterruptedException e) {
      answer(exchange, 400, "{\"error\":\"" + e.getClass().getSimpleName() + "\"}");
    }
  }

  private void promote(HttpExchange exchange, Map<String, Object> body) throws IOException {
    String service = (String) body.get("service");
    String id = (String) body.get("id");
    int status = promotion.apply(service, id);
    record.write(
        "platform",
        "promotion of " + id + " by " + exchange.getRequestHeaders().getFirst("Duty-Holder")
            + " with token " + exchange.getRequestHeaders().getFirst("Fence-Token") + ": " + status);
    answer(exchange, status, "{}");
  }

  private void read(HttpExchange exchange, String[] path, Map<String, String> query)
      throws IOException, InterruptedException {
    String kind = path[3];
    if (path.length > 4) {
      Map<String, Object> object;
      synchronized (this) {
        object = kinds.getOrDefault(kind, new TreeMap<>()).get(path[4]);
      }
      answer(exchange, object == null ? 404 : 200, object == null ? "{}" : Json.print(object));
    } else if (query.containsKey("watch")) {
      watch(exchange, kind, query);
    } else {
      list(exchange, kind, query.getOrDefault("after", ""));
    }
  }

  private void list(HttpExchange exchange, String kind, String after) throws IOException {
    Map<String, Object> reply = new LinkedHashMap<>();
    synchronized (this) {
      List<Object> items = new ArrayList<>();
      TreeMap<String, Map<String, Object>> objects = kinds.getOrDefault(kind, new TreeMap<>());
      boolean more = false;
      for (Map<String, Object> each : objects.tailMap(after, false).values()) {
        if (items.size() == PAGE) {
          more = true;
          break;
        }
        items.add(each);
      }
      reply.put("items", items);
      reply.put("more", more);
      reply.put("at_rev", revision);
    }
    answer(exchange, 200, Json.print(reply));
  }

  private void watch(HttpExchange exchange, String kind, Map<String, String> query)
      throws IOException, InterruptedException {
    long since = Long.parseLong(query.get("watch"));
    long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    Map<String, Object> reply = new LinkedHashMap<>();
    synchronized (this) {
      List<Object> found = new ArrayList<>();
      while (true) {
        for (Event each : events) {
          if (each.revision > since && each.kind.equals(kind)) {
            Map<String, Object> event = new LinkedHashMap<>();
            event.put("object", each.object);
            event.put("deleted", each.deleted);
            found.add(event);
          }
        }
        long left = until - System.currentTimeMillis();
        if (!found.isEmpty() || left <= 0) {
          break;
        }
        wait(left);
      }
      reply.put("events", found);
      reply.put("at_rev", revision);
    }
    answer(exchange, 200, Json.print(reply));
  }

  private void write(HttpExchange exchange, String[] path, String body) throws IOException {
    String kind = path[3];
    Map<String, Object> sent =
        body.isEmpty() ? new LinkedHashMap<>() : Json.object(Json.parse(body));
    Map<String, Object> meta =
        sent.containsKey("meta") ? Json.object(sent.get("meta")) : new LinkedHashMap<>();
    int status = 200;
    Map<String, Object> object;
    synchronized (this) {
      TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
      if (exchange.getRequestMethod().equals("POST")) {
        String name = (String) meta.get("name");
        object = objects.get(name);
        if (object == null) {
          status = 201;
          object = store(kind, name, sent.get("spec"));
        } else {
          status = 409;
        }
      } else {
        object = objects.get(path[4]);
        Object wanted = meta.get("revision");
        if (object == null) {
          status = 404;
          object = new LinkedHashMap<>();
        } else if (wanted != null
            && !wanted.equals(Json.object(object.get("meta")).get("revision"))) {
          status = 409;
        } else if (exchange.getRequestMethod().equals("DELETE")) {
          objects.remove(path[4]);
          revision++;
          events.add(new Event(revision, kind, object, true));
          notifyAll();
        } else {
          object = store(kind, path[4], sent.get("spec"));
        }
      }
    }
    answer(exchange, status, Json.print(object));
  }

  private static void answer(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", "0");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
