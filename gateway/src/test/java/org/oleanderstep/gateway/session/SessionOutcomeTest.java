package org.oleanderstep.gateway.session;

import static com.google.common.truth.Truth.assertThat;
import static org.oleanderstep.gateway.GatewayFixture.PRIMARY_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.READ_YOUR_WRITES_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.SHOP;
import static org.oleanderstep.gateway.GatewayFixture.SHOP_KEY;
import static org.oleanderstep.gateway.GatewayFixture.TIMEOUT;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderstep.gateway.FakeCaller;
import org.oleanderstep.gateway.FakeMember.Fault;
import org.oleanderstep.gateway.GatewayFixture;

class SessionOutcomeTest {

  private static final Duration SHORT = Duration.ofMillis(100);

  private final GatewayFixture fixture = new GatewayFixture();

  private FakeCaller open(String database) {
    return fixture.open(database, SHOP_KEY);
  }

  private long executionCount(String text) {
    return fixture.first.executedStatements.stream().filter(r -> r.startsWith(text)).count();
  }

  // An answer that says that the write was not executed would let the caller write twice.
  @Test
  void should_answer_unknown_when_the_connection_is_lost_after_a_write() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    fixture.first.fault = Fault.RUN_AND_RESET;

    caller.write();

    assertThat(caller.failure()).isEqualTo(FailureCode.UNKNOWN_OUTCOME);
    assertThat(executionCount("WRITE")).isEqualTo(1);
  }

  @Test
  void should_answer_unknown_when_a_write_gets_no_answer_in_time() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.read();
    fixture.first.fault = Fault.SILENT;

    caller.send(StatementKind.WRITE, "WRITE item data");
    fixture.advanceTime(TIMEOUT.plusMillis(50));

    assertThat(caller.failure()).isEqualTo(FailureCode.UNKNOWN_OUTCOME);
  }

  // Ending the session of a failing caller may fail as well.
  @Test
  void should_time_out_statements_of_other_callers_when_ending_a_session_fails() {
    FakeCaller failing = open(PRIMARY_DATABASE);
    FakeCaller other = open(PRIMARY_DATABASE);
    failing.read();
    other.read();
    fixture.first.fault = Fault.SILENT;
    failing.defect = new IllegalStateException("defect");
    failing.closeDefect = new IllegalStateException("another defect");

    failing.send(StatementKind.WRITE, "WRITE item data");
    other.send(StatementKind.WRITE, "WRITE item data");
    fixture.advanceTime(TIMEOUT.plusMillis(50));

    assertThat(other.failure()).isEqualTo(FailureCode.OVERLOADED);
  }

  // A defect that shows with one caller must not keep the statements of all others from timing out.
  @Test
  void should_time_out_statements_of_other_callers_when_serving_one_fails() {
    FakeCaller failing = open(PRIMARY_DATABASE);
    FakeCaller other = open(PRIMARY_DATABASE);
    failing.read();
    other.read();
    fixture.first.fault = Fault.SILENT;
    failing.defect = new IllegalStateException("defect");

    failing.send(StatementKind.WRITE, "WRITE item data");
    other.send(StatementKind.WRITE, "WRITE item data");
    fixture.advanceTime(TIMEOUT.plusMillis(50));

    assertThat(other.answers).hasSize(2);
    // Its write was never sent: the only connection is occupied by the first caller's write.
    assertThat(other.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(failing.closed).isTrue();
  }

  @Test
  void should_retry_a_read_when_its_connection_is_lost() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    fixture.first.fault = Fault.RUN_AND_RESET;
    caller.send(StatementKind.READ, "READ item");
    fixture.deliver();
    fixture.first.fault = Fault.NONE;

    fixture.advanceTime(Duration.ofMillis(300));

    assertThat(caller.last()).isInstanceOf(Answer.Success.class);
  }

  // A write that a former primary refuses has not been executed and may be sent to its successor.
  @Test
  void should_send_a_refused_write_to_the_new_primary() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.read();
    fixture.promote(fixture.first, fixture.second);

    caller.send(StatementKind.WRITE, "WRITE item data");
    fixture.deliver();
    fixture.publishMembers();
    fixture.advanceTime(SHORT);

    assertThat(caller.servedBy()).isEqualTo("second");
    assertThat(executionCount("WRITE")).isEqualTo(0);
  }

  @Test
  void should_refuse_a_write_while_no_primary_is_known() {
    fixture.first.claimsPrimary = false;
    fixture.publishMembers();
    FakeCaller caller = open(PRIMARY_DATABASE);

    caller.send(StatementKind.WRITE, "WRITE item data");
    fixture.advanceTime(TIMEOUT);

    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
  }

  // Entries expire while the store is unavailable; refusing all statements until they reappear
  // would fail callers although the members are healthy.
  @Test
  void should_keep_using_members_whose_entries_have_expired() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.write();

    fixture.gateway.updateMembers(List.of());
    fixture.advanceTime(Duration.ofSeconds(2));
    caller.write();

    assertThat(executionCount("WRITE")).isEqualTo(2);
  }

  // The address of a removed member may be reused by another process.
  @Test
  void should_not_use_a_member_whose_entry_does_not_reappear() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.write();

    fixture.gateway.updateMembers(List.of());
    fixture.advanceTime(Duration.ofSeconds(3));
    caller.send(StatementKind.WRITE, "WRITE item data");
    fixture.advanceTime(Duration.ofSeconds(1));

    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(executionCount("WRITE")).isEqualTo(1);
  }

  @Test
  void should_not_use_a_draining_member_after_its_entry_has_disappeared() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.write();
    fixture.first.draining = true;
    fixture.publishMembers();

    fixture.gateway.updateMembers(List.of(fixture.second.describe()));
    caller.send(StatementKind.WRITE, "WRITE item data");
    fixture.advanceTime(Duration.ofSeconds(1));

    assertThat(executionCount("WRITE")).isEqualTo(1);
  }

  @Test
  void should_abort_a_transaction_whose_connection_is_lost() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.run(StatementKind.BEGIN, "BEGIN");
    fixture.first.fault = Fault.RUN_AND_RESET;

    caller.write();

    assertThat(caller.failure()).isEqualTo(FailureCode.ABORTED);
    assertThat(caller.status).isEqualTo(SessionStatus.FAILED_TRANSACTION);
    caller.run(StatementKind.ROLLBACK, "ROLLBACK");
    assertThat(caller.status).isEqualTo(SessionStatus.IDLE);
  }

  // The commit may have succeeded; an answer of "aborted" would let the caller repeat it.
  @Test
  void should_answer_unknown_when_the_connection_is_lost_after_a_commit() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.write();
    fixture.first.fault = Fault.RUN_AND_RESET;

    caller.run(StatementKind.COMMIT, "COMMIT");

    assertThat(caller.failure()).isEqualTo(FailureCode.UNKNOWN_OUTCOME);
    assertThat(executionCount("COMMIT")).isEqualTo(1);
  }

  @Test
  void should_not_accept_the_commit_of_a_failed_transaction() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.write();
    fixture.promote(fixture.first, fixture.second);
    caller.write();
    assertThat(caller.failure()).isEqualTo(FailureCode.READ_ONLY);

    caller.run(StatementKind.COMMIT, "COMMIT");

    assertThat(caller.failure()).isEqualTo(FailureCode.ABORTED);
    assertThat(executionCount("COMMIT")).isEqualTo(0);
  }

  // A caller that never ends its failed transaction must not block a connection.
  @Test
  void should_release_the_connection_of_a_failed_transaction() {
    fixture.setConnections(1);
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.write();
    fixture.first.primary = false;
    caller.write();
    assertThat(caller.status).isEqualTo(SessionStatus.FAILED_TRANSACTION);
    fixture.first.primary = true;

    FakeCaller next = open(PRIMARY_DATABASE);
    next.send(StatementKind.READ, "READ item");
    fixture.advanceTime(Duration.ofMillis(400));

    assertThat(next.last()).isInstanceOf(Answer.Success.class);
  }

  // A commit is valid only with the proof of the member that executed it.
  @Test
  void should_commit_an_empty_transaction_at_a_member() {
    FakeCaller caller = open(READ_YOUR_WRITES_DATABASE);
    caller.run(StatementKind.BEGIN_READ, "BEGIN READ");

    caller.run(StatementKind.COMMIT, "COMMIT");

    assertThat(((Answer.Success) caller.last()).proof()).startsWith("proof-");
  }

  @Test
  void should_roll_back_when_the_caller_disconnects_in_a_transaction() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.write();

    caller.disconnect();
    fixture.deliver();
    FakeCaller next = open(PRIMARY_DATABASE);
    next.write();

    assertThat(next.last()).isInstanceOf(Answer.Success.class);
    assertThat(executionCount("COMMIT")).isEqualTo(0);
    assertThat(fixture.first.openConnections).isEqualTo(1);
  }

  // The write of a disconnected caller must not stay in progress on a connection that the next
  // caller uses.
  @Test
  void should_end_a_transaction_whose_caller_disconnects_during_a_statement() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.write();
    caller.send(StatementKind.WRITE, "WRITE item more");

    caller.disconnect();
    fixture.deliver();
    FakeCaller next = open(PRIMARY_DATABASE);
    next.read();

    assertThat(next.last()).isInstanceOf(Answer.Success.class);
    assertThat(executionCount("COMMIT")).isEqualTo(0);
  }

  @Test
  void should_end_a_transaction_that_is_idle_for_too_long() {
    FakeCaller caller = open(PRIMARY_DATABASE);
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.write();

    fixture.advanceTime(Duration.ofMillis(3_200));
    caller.write();

    assertThat(caller.failure()).isEqualTo(FailureCode.MALFORMED);
    assertThat(caller.status).isEqualTo(SessionStatus.FAILED_TRANSACTION);
  }

  @Test
  void should_refuse_statements_over_the_rate_as_not_executed() {
    fixture.setRate(1);
    fixture.gateway.updateRateShares(Map.of(SHOP, 1.0));
    FakeCaller caller = open(PRIMARY_DATABASE);
    for (int i = 0; i < 5; i++) {
      caller.send(StatementKind.READ, "READ item");
    }
    fixture.advanceTime(Duration.ofSeconds(1));

    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(executionCount("READ")).isLessThan(5);
  }
}
