package org.oleanderstep.proxy.internal.server;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.oleanderstep.proxy.internal.settings.HostPort;

/**
 * HTTP server for {@code /metrics} in the Prometheus text format, {@code /health} (status 200 while
 * the process runs) and {@code /ready} (status 200 if callers may be sent to this process,
 * otherwise 503 with the reason).
 */
public final class MetricsServer implements AutoCloseable {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final String TEXT_TYPE = "text/plain; charset=utf-8";

  /** Whether callers may be sent to this process, with the reason. */
  public record Readiness(boolean ready, String reason) {}

  private final HttpServer server;
  private final ExecutorService threads;

  private MetricsServer(HttpServer server, ExecutorService threads) {
    this.server = server;
    this.threads = threads;
  }

  /** Starts the server; port zero picks a free port. */
  public static MetricsServer start(
      HostPort address, PrometheusMeterRegistry registry, Supplier<Readiness> readiness) {
    HttpServer server;
    try {
      server = HttpServer.create(address.toSocketAddress(), 0);
    } catch (IOException e) {
      throw new UncheckedIOException("metricsAddress " + address + " cannot be bound", e);
    }
    ExecutorService threads =
        Executors.newSingleThreadExecutor(
            work -> {
              Thread thread = new Thread(work, "metrics");
              thread.setDaemon(true);
              return thread;
            });
    server.setExecutor(threads);
    server.createContext("/metrics", e -> send(e, OK, METRICS_TYPE, registry.scrape()));
    server.createContext("/health", e -> send(e, OK, TEXT_TYPE, "running\n"));
    server.createContext("/ready", e -> sendReadiness(e, readiness.get()));
    server.start();
    return new MetricsServer(server, threads);
  }

  private static void sendReadiness(HttpExchange exchange, Readiness readiness) throws IOException {
    int status = readiness.ready() ? OK : UNAVAILABLE;
    send(exchange, status, TEXT_TYPE, readiness.reason() + "\n");
  }

  private static void send(HttpExchange exchange, int status, String type, String text)
      throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", type);
    exchange.sendResponseHeaders(status, body.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(body);
    }
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return server.getAddress().getPort();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
