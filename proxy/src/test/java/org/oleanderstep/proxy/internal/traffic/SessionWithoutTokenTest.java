package org.oleanderstep.proxy.internal.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.routing.ConfirmedPosition;
import org.oleanderstep.core.routing.GroupView;
import org.oleanderstep.core.routing.MemberView;
import org.oleanderstep.schema.v1.ConfigureRequest;
import org.oleanderstep.schema.v1.FenceRequest;
import org.oleanderstep.schema.v1.GroupControlGrpc;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.PromoteRequest;
import org.oleanderstep.schema.v1.Role;

/** Guards H1 (read-your-writes) for callers without a session token: those of the stock client. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
final class SessionWithoutTokenTest {

  private static final long WAIT_NANOS = 10_000_000_000L;

  @TempDir private Path directory;
  private TestGroup group;
  private TestProxy proxy;
  private TestProxy other;

  @BeforeEach
  void start() throws SQLException {
    group = new TestGroup(directory);
    group.execute("create table stock (id int primary key, count int)");
    group.execute("insert into stock values (1, 0)");
    proxy = new TestProxy(group, "vm-1");
    other = new TestProxy(group, "vm-2");
  }

  @AfterEach
  void stop() {
    proxy.close();
    other.close();
    group.close();
  }

  private <T> T control(
      String member, Function<GroupControlGrpc.GroupControlBlockingStub, T> call) {
    ManagedChannel channel =
        NettyChannelBuilder.forAddress(group.members().get(member).controlAddress())
            .usePlaintext()
            .build();
    try {
      return call.apply(
          GroupControlGrpc.newBlockingStub(channel).withDeadlineAfter(5, TimeUnit.SECONDS));
    } finally {
      channel.shutdownNow();
    }
  }

  private void configure(String member, ConfigureRequest.Builder change) {
    var unused = control(member, stub -> stub.configure(change.build()));
  }

  /** Partitions a from the other members, which make b the primary of term 2. */
  private void replacePrimary() {
    configure(
        "a",
        ConfigureRequest.newBuilder().setSetCutMembers(true).addAllCutMembers(List.of("b", "c")));
    FenceRequest fence = FenceRequest.newBuilder().setTerm(2).setCandidate("vm-2").build();
    assertThat(control("b", stub -> stub.fence(fence)).getAccepted()).isTrue();
    assertThat(control("c", stub -> stub.fence(fence)).getAccepted()).isTrue();
    PromoteRequest promote = PromoteRequest.newBuilder().setTerm(2).setCandidate("vm-2").build();
    assertThat(control("b", stub -> stub.promote(promote)).getAccepted()).isTrue();
    long end = System.nanoTime() + WAIT_NANOS;
    while (!servesAsPrimary("b")) {
      assertThat(System.nanoTime() - end).isLessThan(0);
      Thread.onSpinWait();
    }
  }

  private boolean servesAsPrimary(String member) {
    MemberStatus status = group.members().get(member).status();
    return status.getRole() == Role.PRIMARY && status.getHasMajority();
  }

  private Connection connectWithoutToken(TestProxy connected) throws SQLException {
    return connected.connectStock(TestControlPlane.ORDERS, "north-1", TestControlPlane.SECRET);
  }

  private int read(Statement statement) throws SQLException {
    try (ResultSet rows = statement.executeQuery("select count from stock")) {
      assertThat(rows.next()).isTrue();
      return rows.getInt(1);
    }
  }

  // Guards H1 (read-your-writes): the proxy still takes a for the primary, and a is reachable and
  // serves reads with older data, while the write went through another proxy to b.
  @Test
  void should_not_read_the_old_value_from_a_primary_that_was_replaced() throws SQLException {
    try (Connection reader = connectWithoutToken(proxy);
        Statement read = reader.createStatement()) {
      assertThat(read(read)).isEqualTo(0);
      replacePrimary();
      other.control().refresh();
      try (Connection writer = connectWithoutToken(other);
          Statement write = writer.createStatement()) {
        assertThat(write.executeUpdate("update stock set count = 7")).isEqualTo(1);
      }
      assertThat(group.members().get("a").status().getRole()).isEqualTo(Role.PRIMARY);
      assertThat(read(read)).isEqualTo(7);
    }
  }

  // Guards H1 (read-your-writes): the response of a replica that restarted with older data after it
  // was selected must not reach the caller.
  @Test
  void should_route_again_when_the_response_is_older_than_the_position_used_for_routing()
      throws SQLException {
    try (Connection reader = connectWithoutToken(proxy);
        Statement read = reader.createStatement()) {
      assertThat(read(read)).isEqualTo(0);
      configure("b", ConfigureRequest.newBuilder().setApplyStopped(true));
      configure("c", ConfigureRequest.newBuilder().setApplyStopped(true));
      group.execute("update stock set count = 7");
      proxy.control().change(SessionWithoutTokenTest::withReplicasAhead);
      assertThat(read(read)).isEqualTo(7);
    }
  }

  /** Returns a snapshot in which all members have a recently confirmed position. */
  private static ControlSnapshot withReplicasAhead(ControlSnapshot s) {
    LogPosition ahead = new LogPosition(1, 1_000_000);
    GroupView view = s.groups().get(TestControlPlane.ORDERS);
    List<MemberView> members =
        view.members().stream()
            .map(
                m ->
                    new MemberView(
                        m.member(), m.incarnation(), ahead, 0, 0, false, true, false, false))
            .toList();
    Map<DatabaseId, GroupView> groups = new HashMap<>(s.groups());
    // Its time is in the future, so that the position counts as confirmed for the next read.
    ConfirmedPosition confirmed = new ConfirmedPosition(System.nanoTime() + WAIT_NANOS, ahead);
    groups.put(
        TestControlPlane.ORDERS,
        new GroupView(view.database(), view.term(), view.primary(), members, List.of(confirmed)));
    return new ControlSnapshot(
        s.vm(),
        s.instance(),
        s.configuration(),
        s.ready(),
        s.trusted(),
        s.leaving(),
        s.vmCount(),
        groups,
        s.incarnations(),
        s.databasesToPurge());
  }
}
