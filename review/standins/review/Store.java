package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;

/** The platform's metadata store, as PROTOCOL.md describes it. Loses nothing and never fails. */
final class Store {

  private static final String PREFIX = "/oleanderstep/objects/";
  private static final int PAGE = 500;

  private record StoredObject(
      String name, long revision, long createdRevision, List<?> finalizers, Object spec, Object status) {

    Map<String, Object> json() {
      return Json.map(
          "meta",
          Json.map(
              "name", name,
              "revision", revision,
              "created_rev", createdRevision,
              "finalizers", finalizers,
              "deleting", false),
          "spec", spec,
          "status", status);
    }
  }

  private record Event(long revision, String kind, Map<String, Object> json, boolean deleted) {}

  private record Reply(int status, Object body) {}

  private final HttpServer server;
  private final Map<String, TreeMap<String, StoredObject>> kinds = new HashMap<>();
  private final List<Event> history = new ArrayList<>();
  private long revision = 100;

  Store(InetAddress ip, ExecutorService threads) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  void stop() {
    server.stop(0);
  }

  /** Writes an object as the operator or a database does, and returns its revision. */
  synchronized long write(String kind, String name, Object spec) {
    return put(kind, name, List.of(), spec, null).revision;
  }

  synchronized void remove(String kind, String name) {
    StoredObject removed = objects(kind).remove(name);
    if (removed != null) {
      revision++;
      history.add(new Event(revision, kind, removed.json(), true));
      notifyAll();
    }
  }

  private TreeMap<String, StoredObject> objects(String kind) {
    return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
  }

  private StoredObject put(String kind, String name, List<?> finalizers, Object spec, Object status) {
    StoredObject old = objects(kind).get(name);
    if (old != null && Json.write(old.spec).equals(Json.write(spec))
        && Json.write(old.status).equals(Json.write(status))) {
      return old;
    }
    revision++;
    long created = old == null ? revision : old.createdRevision;
    StoredObject next = new StoredObject(name, revision, created, finalizers, spec, status);
    objects(kind).put(name, next);
    history.add(new Event(revision, kind, next.json(), false));
    notifyAll();
    return next;
  }

  private void handle(HttpExchange exchange) throws IOException {
    Reply reply;
    try {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      reply = answer(exchange, body);
    } catch (RuntimeException | InterruptedException e) {
      reply = new Reply(400, Json.map("error", String.valueOf(e)));
    }
    byte[] bytes = Json.write(reply.body).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().add("Content-Type", "application/json");
    exchange.getResponseHeaders().add("Store-Era", "1");
    exchange.sendResponseHeaders(reply.status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private Reply answer(HttpExchange exchange, String body) throws InterruptedException {
    String path = exchange.getRequestURI().getRawPath();
    if (!path.startsWith(PREFIX)) {
      return new Reply(404, Json.map());
    }
    String[] parts = path.substring(PREFIX.length()).split("/");
    String kind = parts[0];
    String name = parts.length > 1 ? decode(parts[1]) : "";
    boolean statusOnly = parts.length > 2;
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    switch (exchange.getRequestMethod()) {
      case "GET":
        if (!name.isEmpty()) {
          return get(kind, name);
        }
        return query.containsKey("watch") ? watch(kind, query) : list(kind, query);
      case "POST":
        return create(kind, Json.parseMap(body));
      case "PUT":
        return replace(kind, name, Json.parseMap(body), statusOnly);
      case "DELETE":
        return delete(kind, name);
      default:
        return new Reply(405, Json.map());
    }
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int equals = part.indexOf('=');
      query.put(part.substring(0, equals), decode(part.substring(equals + 1)));
    }
    return query;
  }

  private synchronized Reply get(String kind, String name) {
    StoredObject found = objects(kind).get(name);
    return found == null ? new Reply(404, Json.map()) : new Reply(200, found.json());
  }

  private synchronized Reply list(String kind, Map<String, String> query) {
    List<Object> items = new ArrayList<>();
    boolean more = false;
    for (StoredObject each : objects(kind).tailMap(query.getOrDefault("after", ""), false).values()) {
      if (items.size() == PAGE) {
        more = true;
        break;
      }
      items.add(each.json());
    }
    return new Reply(200, Json.map("items", items, "more", more, "at_rev", revision));
  }

  private synchronized Reply watch(String kind, Map<String, String> query) throws InterruptedException {
    long since = Long.parseLong(query.get("watch"));
    long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    if (since > revision) {
      return new Reply(410, Json.map());
    }
    while (true) {
      List<Object> events = new ArrayList<>();
      for (Event event : history) {
        if (event.revision > since && event.kind.equals(kind)) {
          events.add(Json.map("deleted", event.deleted, "object", event.json));
        }
      }
      long left = (until - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        return new Reply(200, Json.map("events", events, "at_rev", revision));
      }
      wait(left);
    }
  }

  private synchronized Reply create(String kind, Map<String, Object> json) {
    String name = (String) Json.child(json, "meta").get("name");
    StoredObject present = objects(kind).get(name);
    if (present != null) {
      return new Reply(409, present.json());
    }
    return new Reply(201, put(kind, name, List.of(), json.get("spec"), json.get("status")).json());
  }

  private synchronized Reply replace(
      String kind, String name, Map<String, Object> json, boolean statusOnly) {
    StoredObject present = objects(kind).get(name);
    if (present == null) {
      return new Reply(404, Json.map());
    }
    Object expected = Json.child(json, "meta").get("revision");
    if (expected != null && ((Number) expected).longValue() != present.revision) {
      return new Reply(409, present.json());
    }
    Object spec = statusOnly ? present.spec : json.get("spec");
    Object status = statusOnly ? json.get("status") : present.status;
    return new Reply(200, put(kind, name, present.finalizers, spec, status).json());
  }

  private synchronized Reply delete(String kind, String name) {
    StoredObject present = objects(kind).get(name);
    remove(kind, name);
    return present == null ? new Reply(404, Json.map()) : new Reply(200, present.json());
  }
}
