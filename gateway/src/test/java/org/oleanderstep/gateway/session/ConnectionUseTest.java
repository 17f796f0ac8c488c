package org.oleanderstep.gateway.session;

import static com.google.common.truth.Truth.assertThat;
import static org.oleanderstep.gateway.GatewayFixture.BOUNDED_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.LAB_KEY;
import static org.oleanderstep.gateway.GatewayFixture.PRIMARY_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.SHOP_KEY;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderstep.gateway.FakeCaller;
import org.oleanderstep.gateway.FakeMember;
import org.oleanderstep.gateway.Gateway;
import org.oleanderstep.gateway.GatewayFixture;

class ConnectionUseTest {

  private static final Duration TYPICAL_LAG = Duration.ofMillis(200);

  private final GatewayFixture fixture = new GatewayFixture();

  /** Gives the VM one connection to each member, as in a large fleet. */
  @BeforeEach
  void allowOneConnection() {
    fixture.setConnections(1);
    fixture.open(PRIMARY_DATABASE, SHOP_KEY).read();
    fixture.advanceTime(TYPICAL_LAG);
  }

  private int opened() {
    return fixture.first.organisations.size()
        + fixture.second.organisations.size()
        + fixture.third.organisations.size();
  }

  /** Lets time pass without delivering messages, so that connections stay in progress. */
  private void tickWithoutNetwork() {
    fixture.clock.advance(Gateway.TICK_INTERVAL);
    fixture.gateway.tick();
  }

  // A connection attempt in progress made its member look full, so that the same read opened
  // connections to the other members too. Each of them occupies a slot there.
  @Test
  void should_open_one_connection_for_a_read() {
    int before = opened();
    FakeCaller reader = fixture.open(BOUNDED_DATABASE, LAB_KEY);

    reader.send(StatementKind.READ, "READ item");
    tickWithoutNetwork();
    tickWithoutNetwork();
    fixture.deliver();

    assertThat(reader.last()).isInstanceOf(Answer.Success.class);
    assertThat(opened()).isEqualTo(before + 1);
  }

  // A member that does not accept the connection in time must not hold up the read.
  @Test
  void should_open_a_connection_elsewhere_after_a_refusal() {
    fixture.second.connectionLimit = 0;
    fixture.third.connectionLimit = 0;
    FakeCaller reader = fixture.open(BOUNDED_DATABASE, LAB_KEY);

    reader.send(StatementKind.READ, "READ item");
    fixture.deliver();
    fixture.advanceTime(Duration.ofMillis(60));

    assertThat(reader.servedBy()).isEqualTo("first");
  }

  // The first packet of a connection may be lost, and is sent again only after a second.
  @Test
  void should_read_elsewhere_while_a_connection_is_slow_to_open() {
    fixture.second.fault = FakeMember.Fault.SILENT;
    fixture.third.fault = FakeMember.Fault.SILENT;
    FakeCaller reader = fixture.open(BOUNDED_DATABASE, LAB_KEY);

    reader.send(StatementKind.READ, "READ item");
    fixture.advanceTime(Duration.ofMillis(400));

    assertThat(reader.servedBy()).isEqualTo("first");
  }

  // A caller that pauses inside a transaction holds the only connection of its VM to the primary.
  @Test
  void should_serve_others_while_a_transaction_holds_the_only_connection() {
    FakeCaller resting = fixture.open(PRIMARY_DATABASE, SHOP_KEY);
    resting.run(StatementKind.BEGIN, "BEGIN");
    resting.read();

    FakeCaller other = fixture.open(PRIMARY_DATABASE, LAB_KEY);
    other.write();

    assertThat(other.last()).isInstanceOf(Answer.Success.class);
    assertThat(fixture.first.openConnections).isEqualTo(1);
    assertThat(resting.run(StatementKind.COMMIT, "COMMIT")).isInstanceOf(Answer.Success.class);
  }

  // The spare connections of a member are shared by all VMs.
  @Test
  void should_not_exceed_its_limit_while_the_member_is_full() {
    FakeCaller resting = fixture.open(PRIMARY_DATABASE, SHOP_KEY);
    resting.run(StatementKind.BEGIN, "BEGIN");
    resting.read();
    fixture.first.connectionLimit = 1;
    FakeCaller other = fixture.open(PRIMARY_DATABASE, LAB_KEY);
    other.send(StatementKind.WRITE, "WRITE item data");
    fixture.advanceTime(Duration.ofMillis(100));
    fixture.first.connectionLimit = 100;

    fixture.advanceTime(Duration.ofMillis(200));

    assertThat(other.answers).isEmpty();
    assertThat(fixture.first.openConnections).isEqualTo(1);
  }

  // After all VMs have lost power, a member counts their former connections for some seconds. If
  // the first VMs to return kept the few that are left, the others could serve nothing.
  @Test
  void should_leave_an_unused_connection_to_other_vms_while_connections_are_scarce() {
    GatewayFixture started = new GatewayFixture(Gateway.TICK_INTERVAL);
    started.setConnections(1);

    started.open(PRIMARY_DATABASE, SHOP_KEY).read();
    assertThat(started.first.openConnections).isEqualTo(0);

    started.advanceTime(Duration.ofSeconds(5));
    started.open(PRIMARY_DATABASE, SHOP_KEY).read();
    assertThat(started.first.openConnections).isEqualTo(1);
  }

  @Test
  void should_leave_unused_connections_to_other_vms_after_a_refusal() {
    fixture.setConnections(8);
    fixture.first.connectionLimit = 0;
    FakeCaller caller = fixture.open(PRIMARY_DATABASE, LAB_KEY);
    caller.send(StatementKind.READ, "READ item");
    fixture.deliver();
    fixture.first.connectionLimit = 100;

    fixture.advanceTime(Duration.ofMillis(100));

    assertThat(caller.servedBy()).isEqualTo("first");
    assertThat(fixture.first.openConnections).isEqualTo(0);
  }

  /** Lets a member take some time for its replies. */
  private void replyAfter(Duration time) {
    for (Duration t = Duration.ZERO; t.compareTo(time) < 0; t = t.plus(Gateway.TICK_INTERVAL)) {
      tickWithoutNetwork();
    }
    fixture.deliver();
  }

  // A primary that was only slow had the transactions of its callers given up.
  @Test
  void should_not_give_up_the_transaction_of_a_slow_member() {
    FakeCaller caller = fixture.open(PRIMARY_DATABASE, SHOP_KEY);
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.send(StatementKind.READ, "READ item");
    replyAfter(Duration.ofMillis(300));
    assertThat(caller.last()).isInstanceOf(Answer.Success.class);

    caller.send(StatementKind.READ, "READ item");
    replyAfter(Duration.ofMillis(500));

    assertThat(caller.last()).isInstanceOf(Answer.Success.class);
    assertThat(caller.status).isEqualTo(SessionStatus.IN_TRANSACTION);
  }
}
