package org.oleanderstep.gateway.session;

import static com.google.common.truth.Truth.assertThat;
import static org.oleanderstep.gateway.GatewayFixture.PRIMARY_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.SHOP_KEY;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderstep.gateway.FakeCaller;
import org.oleanderstep.gateway.FakeMember.Fault;
import org.oleanderstep.gateway.GatewayFixture;

/** A statement runs only with the variables and prepared statements of its own session. */
class SessionVariablesTest {

  private static final Duration RETRY_TIME = Duration.ofMillis(100);

  private final GatewayFixture fixture = new GatewayFixture();

  /** Lets all sessions share one connection. */
  @BeforeEach
  void allowOneConnection() {
    fixture.setConnections(1);
  }

  private FakeCaller open(String variable) {
    FakeCaller caller = fixture.open(PRIMARY_DATABASE, SHOP_KEY);
    if (!variable.isEmpty()) {
      caller.send(StatementKind.SET, variable, "value", StatementEffect.READ);
    }
    return caller;
  }

  private void write(FakeCaller caller, String item) {
    caller.send(StatementKind.WRITE, "WRITE " + item);
    fixture.deliver();
    fixture.advanceTime(RETRY_TIME);
  }

  // Statements ran with the variables of another session after a database had refused SET or RESET
  // (review/1).
  @Test
  void should_not_run_a_statement_before_its_variables_are_set() {
    FakeCaller caller = open("zone");
    fixture.first.refusedChanges = 2;

    write(caller, "a");

    assertThat(caller.last()).isInstanceOf(Answer.Success.class);
    assertThat(fixture.first.executedStatements).containsExactly("WRITE a {zone=value}");
  }

  @Test
  void should_not_run_a_statement_with_the_variables_of_another_session() {
    write(open("zone"), "a");
    FakeCaller other = open("");
    fixture.first.refusedChanges = 2;

    write(other, "b");

    assertThat(other.last()).isInstanceOf(Answer.Success.class);
    assertThat(fixture.first.executedStatements)
        .containsExactly("WRITE a {zone=value}", "WRITE b {}")
        .inOrder();
  }

  // The member may have applied the change, so that nobody knows the state of the connection.
  @Test
  void should_not_use_a_connection_again_after_a_change_of_unknown_outcome() {
    write(open("zone"), "a");
    FakeCaller other = open("");
    fixture.first.changeRefusal = FailureCode.TIMEOUT;
    fixture.first.refusedChanges = 1;
    int before = fixture.first.organisations.size();

    write(other, "b");

    assertThat(other.last()).isInstanceOf(Answer.Success.class);
    assertThat(fixture.first.executedStatements).contains("WRITE b {}");
    assertThat(fixture.first.organisations).hasSize(before + 1);
  }

  // The statement was not sent, so that its caller may retry even a write.
  @Test
  void should_answer_not_run_when_the_variables_cannot_be_set() {
    FakeCaller caller = open("zone");
    fixture.first.refusedChanges = 100;

    write(caller, "a");

    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(fixture.first.executedStatements).isEmpty();
  }

  @Test
  void should_answer_not_run_when_the_change_of_a_variable_gets_no_reply() {
    write(open(""), "a");
    FakeCaller caller = open("zone");
    fixture.first.fault = Fault.SILENT;

    caller.send(StatementKind.WRITE, "WRITE b");
    fixture.advanceTime(GatewayFixture.TIMEOUT.plusMillis(50));

    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
  }

  @Test
  void should_set_variables_before_the_statements_of_a_transaction() {
    FakeCaller caller = open("zone");
    caller.run(StatementKind.BEGIN, "BEGIN");
    fixture.first.refusedChanges = 1;
    write(caller, "a");
    caller.send(StatementKind.SET, "shop", "value", StatementEffect.READ);
    fixture.first.refusedChanges = 2;
    write(caller, "b");

    assertThat(caller.last()).isInstanceOf(Answer.Success.class);
    assertThat(fixture.first.executedStatements.get(0)).isEqualTo("WRITE a {zone=value}");
    assertThat(fixture.first.executedStatements.get(1)).contains("shop=value");
  }

  // The database failed the transaction, so that the caller has to begin again.
  @Test
  void should_fail_a_transaction_in_which_a_variable_cannot_be_set() {
    FakeCaller caller = open("");
    caller.run(StatementKind.BEGIN, "BEGIN");
    write(caller, "a");
    caller.send(StatementKind.SET, "zone", "value", StatementEffect.READ);
    fixture.first.changeRefusal = FailureCode.FAILED;
    fixture.first.refusedChanges = 1;

    write(caller, "b");

    assertThat(caller.failure()).isEqualTo(FailureCode.ABORTED);
    assertThat(caller.status).isEqualTo(SessionStatus.FAILED_TRANSACTION);
    assertThat(fixture.first.executedStatements).containsExactly("WRITE a {}");
  }

  @Test
  void should_prepare_a_statement_again_whose_preparation_was_refused() {
    FakeCaller caller = open("");
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.send(StatementKind.PREPARE, "s", "shape", StatementEffect.WRITE);
    write(caller, "a");
    fixture.first.refusedChanges = 2;

    caller.send(StatementKind.EXECUTE, "s", "item", StatementEffect.READ);
    fixture.deliver();
    fixture.advanceTime(RETRY_TIME);

    assertThat(caller.last()).isInstanceOf(Answer.Success.class);
    assertThat(fixture.first.executedStatements).contains("WRITE prepared item {}");
  }

  // The connection is reused, so that a later statement would find the name unknown.
  @Test
  void should_prepare_a_statement_again_after_a_refused_reset() {
    FakeCaller first = open("zone");
    first.send(StatementKind.PREPARE, "s", "shape", StatementEffect.WRITE);
    first.send(StatementKind.EXECUTE, "s", "one", StatementEffect.READ);
    fixture.deliver();
    write(open(""), "b");
    fixture.first.refusedChanges = 1;

    first.send(StatementKind.EXECUTE, "s", "two", StatementEffect.READ);
    fixture.deliver();
    fixture.advanceTime(RETRY_TIME);

    assertThat(first.last()).isInstanceOf(Answer.Success.class);
    assertThat(fixture.first.executedStatements).contains("WRITE prepared two {zone=value}");
  }
}
