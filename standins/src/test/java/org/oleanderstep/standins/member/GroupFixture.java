package org.oleanderstep.standins.member;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.util.Durations;
import com.google.protobuf.util.JsonFormat;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.oleanderstep.schema.v1.ConfigureRequest;
import org.oleanderstep.schema.v1.FenceReply;
import org.oleanderstep.schema.v1.FenceRequest;
import org.oleanderstep.schema.v1.GroupControlGrpc;
import org.oleanderstep.schema.v1.MemberPeer;
import org.oleanderstep.schema.v1.MemberSettings;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.MemberStatusRequest;
import org.oleanderstep.schema.v1.Position;
import org.oleanderstep.schema.v1.PromoteReply;
import org.oleanderstep.schema.v1.PromoteRequest;
import org.oleanderstep.schema.v1.Role;
import org.oleanderstep.standins.FreePorts;

/** Three members a, b and c in this process; a is the initial primary. */
final class GroupFixture implements AutoCloseable {

  static final String USER = "proxy";
  static final String PASSWORD = "secret";
  private static final Duration WAIT_LIMIT = Duration.ofSeconds(10);
  private static final long POLL_MILLIS = 5;

  private final Map<String, MemberSettings> settings = new LinkedHashMap<>();
  private final Map<String, Member> members = new HashMap<>();
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, ManagedChannel> channels = new HashMap<>();

  GroupFixture(Path directory) {
    this(directory, UnaryOperator.identity());
  }

  GroupFixture(Path directory, UnaryOperator<MemberSettings.Builder> change) {
    List<String> names = List.of("a", "b", "c");
    Map<String, String> controls = new HashMap<>();
    for (String name : names) {
      controls.put(name, "127.0.0.1:" + FreePorts.next());
    }
    for (String name : names) {
      MemberSettings.Builder member =
          MemberSettings.newBuilder()
              .setName(name)
              .setFailureDomain(name)
              .setSqlAddress("127.0.0.1:" + FreePorts.next())
              .setControlAddress(controls.get(name))
              .setConnections(16)
              .setSlots(4)
              .setDataDirectory(directory.resolve(name).toString())
              .setInitialPrimary("a")
              .setUser(USER)
              .setPassword(PASSWORD);
      for (String other : names) {
        if (!other.equals(name)) {
          member.addPeers(
              MemberPeer.newBuilder().setName(other).setControlAddress(controls.get(other)));
        }
      }
      settings.put(name, change.apply(member).build());
    }
  }

  GroupFixture start() {
    settings.keySet().forEach(this::start);
    return awaitInitialPrimary();
  }

  GroupFixture awaitInitialPrimary() {
    awaitStatus("a", status -> status.getRole() == Role.PRIMARY && status.getHasMajority());
    return this;
  }

  void start(String name) {
    members.put(name, Member.start(settings.get(name)));
  }

  /** Starts a member as a process of its own. */
  Process startProcess(String name) throws IOException {
    Path file = Path.of(settings.get(name).getDataDirectory() + ".json");
    Files.writeString(file, JsonFormat.printer().print(settings.get(name)));
    Process process =
        new ProcessBuilder(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.oleanderstep.standins.Main",
                "member",
                "--settings",
                file.toString())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    processes.add(process);
    try (BufferedReader out = process.inputReader(StandardCharsets.UTF_8)) {
      String line = out.readLine();
      if (line == null || !line.startsWith("ready")) {
        throw new IOException("member " + name + " did not start: " + line);
      }
    }
    return process;
  }

  void stop(String name) {
    members.remove(name).close();
  }

  Member member(String name) {
    return members.get(name);
  }

  Connection connect(String name) throws SQLException {
    return connect(name, PASSWORD);
  }

  Connection connect(String name, String password) throws SQLException {
    return DriverManager.getConnection(
        url(name) + ";avatica_user=" + USER + ";avatica_password=" + password);
  }

  /** Connects with a client that sends each request once, on a TCP connection of its own. */
  Connection connectOnce(String name) throws SQLException {
    return DriverManager.getConnection(
        url(name)
            + ";avatica_user="
            + USER
            + ";avatica_password="
            + PASSWORD
            + ";httpclient_impl="
            + SocketHttpClient.class.getName());
  }

  String url(String name) {
    return "jdbc:avatica:remote:url=http://127.0.0.1:"
        + sqlPort(name)
        + ";serialization=protobuf;authentication=BASIC";
  }

  private int sqlPort(String name) {
    String address = settings.get(name).getSqlAddress();
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }

  /** Runs one statement on a connection of its own. */
  void execute(String name, String sql) throws SQLException {
    try (Connection connection = connect(name);
        var statement = connection.createStatement()) {
      statement.execute(sql);
    }
  }

  long count(String name, String sql) throws SQLException {
    try (Connection connection = connect(name)) {
      return count(connection, sql);
    }
  }

  static long count(Connection connection, String sql) throws SQLException {
    try (var statement = connection.createStatement();
        var rows = statement.executeQuery(sql)) {
      rows.next();
      return rows.getLong(1);
    }
  }

  /** Fences b and c for a term and promotes the one that received more. */
  String failOver(long term) {
    MemberStatus b = fence("b", term, "vm-1").getStatus();
    MemberStatus c = fence("c", term, "vm-1").getStatus();
    String chosen = isAfter(c.getReceived(), b.getReceived()) ? "c" : "b";
    assertThat(promote(chosen, term, "vm-1").getAccepted()).isTrue();
    awaitStatus(chosen, status -> status.getRole() == Role.PRIMARY);
    return chosen;
  }

  static boolean isAfter(Position position, Position other) {
    return position.getTerm() != other.getTerm()
        ? position.getTerm() > other.getTerm()
        : position.getIndex() > other.getIndex();
  }

  /** Returns the control port; the call goes over the network as a proxy's does. */
  GroupControlGrpc.GroupControlBlockingStub control(String name) {
    ManagedChannel channel =
        channels.computeIfAbsent(
            name,
            key -> {
              String[] address = settings.get(key).getControlAddress().split(":", 2);
              return NettyChannelBuilder.forAddress(address[0], Integer.parseInt(address[1]))
                  .usePlaintext()
                  .build();
            });
    channel.resetConnectBackoff();
    return GroupControlGrpc.newBlockingStub(channel)
        .withWaitForReady()
        .withDeadlineAfter(5, TimeUnit.SECONDS);
  }

  MemberStatus status(String name) {
    return control(name).status(MemberStatusRequest.getDefaultInstance());
  }

  FenceReply fence(String name, long term, String candidate) {
    return control(name)
        .fence(FenceRequest.newBuilder().setTerm(term).setCandidate(candidate).build());
  }

  PromoteReply promote(String name, long term, String candidate) {
    return control(name)
        .promote(PromoteRequest.newBuilder().setTerm(term).setCandidate(candidate).build());
  }

  void cut(String name, String... others) {
    configure(
        name,
        ConfigureRequest.newBuilder().setSetCutMembers(true).addAllCutMembers(List.of(others)));
  }

  void setApplyLag(String name, Duration lag) {
    configure(
        name, ConfigureRequest.newBuilder().setApplyLag(Durations.fromMillis(lag.toMillis())));
  }

  void configure(String name, ConfigureRequest.Builder request) {
    var unused = control(name).configure(request.build());
  }

  MemberStatus awaitStatus(String name, Predicate<MemberStatus> condition) {
    List<MemberStatus> last = new ArrayList<>(List.of(status(name)));
    await(
        () -> {
          last.set(0, status(name));
          return condition.test(last.get(0));
        },
        "status of " + name + ", last " + last.get(0));
    return last.get(0);
  }

  /** Waits until a member applied all that another one did. */
  void awaitApplied(String name, String as) {
    long index = status(as).getApplied().getIndex();
    awaitStatus(name, status -> status.getApplied().getIndex() >= index);
  }

  static void await(BooleanSupplier condition, String what) {
    long end = System.nanoTime() + WAIT_LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("not within " + WAIT_LIMIT + ": " + what);
      }
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  @Override
  public void close() {
    channels.values().forEach(ManagedChannel::shutdownNow);
    members.values().forEach(Member::close);
    processes.forEach(Process::destroyForcibly);
  }
}
