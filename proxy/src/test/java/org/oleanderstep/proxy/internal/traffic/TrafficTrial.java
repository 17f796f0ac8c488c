package org.oleanderstep.proxy.internal.traffic;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Benchmark that compares queries through a proxy with queries sent directly to a member, all in
 * one process.
 *
 * <p>Run it with the test class path. It prints one line for each connection source and number of
 * connections.
 */
final class TrafficTrial {

  private static final String QUERY = "select count from stock where id = 1";
  private static final int[] CONNECTIONS = {1, 16, 256};
  private static final int MEMBER_CONNECTIONS = 400;
  private static final long WARM_UP_NANOS = 2_000_000_000L;
  private static final long RUN_NANOS = 4_000_000_000L;

  private TrafficTrial() {}

  /** Opens connections, either through the proxy or directly. */
  private interface ConnectionSource {
    Connection connect() throws SQLException;
  }

  /** Runs the benchmark. */
  public static void main(String[] arguments) throws Exception {
    Path directory = Files.createTempDirectory(Path.of("target"), "trial");
    try (TestGroup group = new TestGroup(directory, MEMBER_CONNECTIONS);
        TestProxy proxy = new TestProxy(group, "vm-1")) {
      group.execute("create table stock (id int primary key, count int)");
      group.execute("insert into stock values (1, 0)");
      while (group.members().get("b").status().getApplied().getIndex()
          < group.members().get("a").status().getApplied().getIndex()) {
        Thread.onSpinWait();
      }
      proxy.control().refresh();
      // Lets the JIT compiler see both code paths before the first measurement.
      measure(16, () -> group.connect("b"), WARM_UP_NANOS);
      measure(16, () -> proxy.connect(TestControlPlane.ORDERS), WARM_UP_NANOS);
      for (int connections : CONNECTIONS) {
        run("direct", connections, () -> group.connect("b"));
        run("proxy", connections, () -> proxy.connect(TestControlPlane.ORDERS));
      }
    }
  }

  private static void run(String name, int connections, ConnectionSource source) throws Exception {
    measure(connections, source, WARM_UP_NANOS);
    long cpuBefore = proxyCpuNanos();
    long start = System.nanoTime();
    long[] latencies = measure(connections, source, RUN_NANOS);
    double seconds = (System.nanoTime() - start) / 1e9;
    double cpuMicros = (proxyCpuNanos() - cpuBefore) / 1e3 / Math.max(1, latencies.length);
    Arrays.sort(latencies);
    System.out.printf(
        Locale.ROOT,
        "%-6s connections=%d statements/s=%.0f p50=%.0fus p99=%.0fus p99.9=%.0fus proxyCpu=%.0fus%n",
        name,
        connections,
        latencies.length / seconds,
        percentile(latencies, 0.5),
        percentile(latencies, 0.99),
        percentile(latencies, 0.999),
        cpuMicros);
  }

  private static double percentile(long[] sorted, double share) {
    return sorted[(int) Math.min(sorted.length - 1, sorted.length * share)] / 1e3;
  }

  /** Returns the CPU time of all threads of the proxy. */
  private static long proxyCpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      var info = threads.getThreadInfo(id);
      if (info != null && info.getThreadName().startsWith("oleanderstep-")) {
        sum += Math.max(0, threads.getThreadCpuTime(id));
      }
    }
    return sum;
  }

  private static long[] measure(int connections, ConnectionSource source, long nanos)
      throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(connections);
    try {
      List<Callable<long[]>> work = new ArrayList<>();
      for (int i = 0; i < connections; i++) {
        work.add(() -> query(source, nanos));
      }
      List<long[]> results = new ArrayList<>();
      for (Future<long[]> result : callers.invokeAll(work)) {
        results.add(result.get());
      }
      return results.stream().flatMapToLong(Arrays::stream).toArray();
    } finally {
      callers.shutdownNow();
    }
  }

  private static long[] query(ConnectionSource source, long nanos) throws SQLException {
    long[] latencies = new long[1 << 18];
    int count = 0;
    try (Connection connection = source.connect();
        Statement statement = connection.createStatement()) {
      long end = System.nanoTime() + nanos;
      long now = System.nanoTime();
      while (now - end < 0 && count < latencies.length) {
        try (ResultSet rows = statement.executeQuery(QUERY)) {
          rows.next();
        }
        long after = System.nanoTime();
        latencies[count++] = after - now;
        now = after;
      }
    }
    return Arrays.copyOf(latencies, count);
  }
}
