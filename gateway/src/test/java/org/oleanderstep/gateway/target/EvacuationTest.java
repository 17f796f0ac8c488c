package org.oleanderstep.gateway.target;

import static com.google.common.truth.Truth.assertThat;
import static org.oleanderstep.gateway.GatewayFixture.BOUNDED_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.PRIMARY_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.SHOP_KEY;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.placement.EvacuatedDomains;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.FakeCaller;
import org.oleanderstep.gateway.FakeMember;
import org.oleanderstep.gateway.GatewayFixture;
import org.oleanderstep.gateway.control.ColdBounds;
import org.oleanderstep.gateway.session.FailureCode;
import org.oleanderstep.gateway.session.SessionStatus;
import org.oleanderstep.gateway.session.StatementKind;

/** The primary and one replica are in failure domains that are evacuated. */
class EvacuationTest {

  private static final EvacuatedDomains OF_PRIMARY = new EvacuatedDomains(Set.of("a"));
  private static final EvacuatedDomains ALL = new EvacuatedDomains(Set.of("a", "b", "c"));

  private final GatewayFixture fixture = new GatewayFixture();

  @BeforeEach
  void placeMembers() {
    fixture.first.failureDomain = "a";
    fixture.second.failureDomain = "b";
    fixture.third.failureDomain = "c";
    fixture.publishMembers();
    fixture.gateway.updateKnownVms(new VmId("vm-1"), Set.of(new VmId("vm-1")));
  }

  private FakeCaller open(String database) {
    return fixture.open(database, SHOP_KEY);
  }

  private void evacuate(EvacuatedDomains domains) {
    fixture.gateway.updateEvacuations(domains);
  }

  // Position samples, probes and new connections are requests as well.
  @Test
  void should_send_nothing_to_evacuated_members() {
    FakeCaller caller = open(BOUNDED_DATABASE);
    caller.read();
    evacuate(ALL);
    int sent = fixture.first.commandsSent + fixture.second.commandsSent;

    caller.send(StatementKind.READ, "READ item");
    FakeCaller writer = open(PRIMARY_DATABASE);
    writer.send(StatementKind.WRITE, "WRITE item data");
    fixture.advanceTime(Duration.ofSeconds(5));

    assertThat(fixture.first.commandsSent + fixture.second.commandsSent).isEqualTo(sent);
    assertThat(fixture.first.openConnections).isEqualTo(0);
    assertThat(writer.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(fixture.gateway.services().get("main").suspects()).isEmpty();
  }

  @Test
  void should_abort_an_open_transaction_without_a_rollback() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.write();
    int sent = fixture.first.commandsSent;

    evacuate(OF_PRIMARY);
    caller.run(StatementKind.COMMIT, "COMMIT");

    assertThat(caller.failure()).isEqualTo(FailureCode.ABORTED);
    assertThat(caller.status).isEqualTo(SessionStatus.IDLE);
    assertThat(fixture.first.commandsSent).isEqualTo(sent);
    assertThat(fixture.first.committedStatements).isEmpty();
  }

  // The outcome of a write that was sent would be unknown if its connection were closed.
  @Test
  void should_pass_on_the_reply_to_a_statement_that_was_sent() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.write();
    caller.send(StatementKind.WRITE, "WRITE more data");
    evacuate(OF_PRIMARY);
    fixture.deliver();

    assertThat(caller.servedBy()).isEqualTo("first");
    assertThat(fixture.first.committedStatements).hasSize(2);
    assertThat(fixture.first.openConnections).isEqualTo(0);
  }

  // The commit arrived together with the write, so that it goes out as soon as that is answered. It
  // was never sent: an unknown outcome would be wrong, and a sent one against the evacuation.
  @Test
  void should_not_send_the_next_statement_of_a_transaction_after_the_reply() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.write();
    caller.send(StatementKind.WRITE, "WRITE more data");
    caller.send(StatementKind.COMMIT, "COMMIT");
    int sent = fixture.first.commandsSent;
    evacuate(OF_PRIMARY);
    fixture.deliver();

    assertThat(caller.failure()).isEqualTo(FailureCode.ABORTED);
    assertThat(fixture.first.commandsSent).isEqualTo(sent);
    assertThat(fixture.first.committedStatements).isEmpty();
  }

  @Test
  void should_begin_a_transaction_elsewhere_whose_begin_was_not_answered() {
    FakeCaller caller = open(BOUNDED_DATABASE);
    caller.read();
    FakeMember served = caller.servedBy().equals("second") ? fixture.second : fixture.third;
    caller.run(StatementKind.BEGIN_READ, "BEGINREAD");
    caller.send(StatementKind.READ, "READ item");
    evacuate(new EvacuatedDomains(Set.of(served.failureDomain)));
    fixture.advanceTime(Duration.ofMillis(200));

    assertThat(caller.servedBy()).isNotEqualTo(served.id().name());
    assertThat(served.openConnections).isEqualTo(0);
  }

  @Test
  void should_ask_no_evacuated_member_for_its_position() {
    evacuate(new EvacuatedDomains(Set.of("b")));
    int sent = fixture.second.commandsSent;

    CompletableFuture<Map<MemberId, LogPosition>> asked =
        fixture.gateway.askPositions("main", Set.of(fixture.second.id(), fixture.third.id()));
    fixture.advanceTime(Duration.ofMillis(500));

    assertThat(asked.join().keySet()).containsExactly(fixture.third.id());
    assertThat(fixture.second.commandsSent).isEqualTo(sent);
  }

  // Nobody can become the primary, so that waiting only holds the caller.
  @Test
  void should_refuse_at_once_if_all_members_are_evacuated() {
    evacuate(ALL);

    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.write();

    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
  }

  @Test
  void should_use_the_members_again_after_the_evacuation() {
    evacuate(ALL);
    evacuate(EvacuatedDomains.NONE);

    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.write();

    assertThat(caller.servedBy()).isEqualTo("first");
  }

  // A new pool must not start open and get a request before the evacuation is applied to it.
  @Test
  void should_send_nothing_to_a_member_that_appears_during_the_evacuation() {
    evacuate(new EvacuatedDomains(Set.of("d")));
    fixture.first.failureDomain = "d";
    fixture.publishMembers();
    int sent = fixture.first.commandsSent;

    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.send(StatementKind.WRITE, "WRITE item data");
    fixture.advanceTime(Duration.ofSeconds(1));

    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(fixture.first.commandsSent).isEqualTo(sent);
  }

  // More than that makes the queue of a cold member grow, which it then works off for seconds.
  @Test
  void should_send_a_cold_primary_no_more_than_the_share_of_this_vm() {
    fixture.gateway.limitColdMembers(new ColdBounds(1, 0));
    fixture.setColdRate(10);
    fixture.first.coldLeft = Duration.ofSeconds(30);
    fixture.publishMembers();
    int before = fixture.first.committedStatements.size();

    for (int i = 0; i < 40; i++) {
      open(PRIMARY_DATABASE).send(StatementKind.WRITE, "WRITE item data");
    }
    fixture.advanceTime(Duration.ofMillis(300));

    assertThat(fixture.first.committedStatements.size() - before).isEqualTo(5);

    fixture.first.coldLeft = Duration.ZERO;
    fixture.publishMembers();
    fixture.advanceTime(Duration.ofMillis(100));
    assertThat(fixture.first.committedStatements.size() - before).isEqualTo(40);
  }

  // The entry of a member that became cold shortly before the end may not have arrived yet.
  @Test
  void should_count_members_as_cold_just_after_their_evacuation() {
    fixture.gateway.limitColdMembers(new ColdBounds(1, 0));
    fixture.setColdRate(10);
    evacuate(ALL);
    evacuate(EvacuatedDomains.NONE);
    int before = fixture.first.committedStatements.size();

    for (int i = 0; i < 40; i++) {
      open(PRIMARY_DATABASE).send(StatementKind.WRITE, "WRITE item data");
    }
    fixture.advanceTime(Duration.ofMillis(300));

    assertThat(fixture.first.committedStatements.size() - before).isEqualTo(5);
  }
}
