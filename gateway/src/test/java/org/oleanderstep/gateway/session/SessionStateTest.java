package org.oleanderstep.gateway.session;

import static com.google.common.truth.Truth.assertThat;
import static org.oleanderstep.gateway.GatewayFixture.LAB;
import static org.oleanderstep.gateway.GatewayFixture.LAB_KEY;
import static org.oleanderstep.gateway.GatewayFixture.PRIMARY_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.SHOP_KEY;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderstep.gateway.FakeCaller;
import org.oleanderstep.gateway.GatewayFixture;

class SessionStateTest {

  private static final Duration FIRST_STATEMENT_WAIT = Duration.ofMillis(500);

  private final GatewayFixture fixture = new GatewayFixture();

  private FakeCaller open() {
    return fixture.open(PRIMARY_DATABASE, SHOP_KEY);
  }

  private void set(FakeCaller caller, String name, String value) {
    caller.send(StatementKind.SET, name, value, StatementEffect.READ);
  }

  private String lastExecuted() {
    List<String> ran = fixture.first.executedStatements;
    return ran.get(ran.size() - 1);
  }

  // Sessions share connections; the variables of one session must not affect statements of another.
  @Test
  void should_execute_each_statement_with_the_variables_of_its_session() {
    fixture.setConnections(1);
    FakeCaller one = open();
    FakeCaller two = open();
    set(one, "zone", "lima");
    set(two, "lang", "es");

    one.read();
    assertThat(lastExecuted()).isEqualTo("READ item {zone=lima}");
    two.read();
    assertThat(lastExecuted()).isEqualTo("READ item {lang=es}");
    one.read();
    assertThat(lastExecuted()).isEqualTo("READ item {zone=lima}");
    assertThat(fixture.first.openConnections).isEqualTo(1);
  }

  // Callers may use the same name for different prepared statements.
  @Test
  void should_execute_the_statement_that_the_same_caller_prepared() {
    fixture.setConnections(1);
    FakeCaller one = open();
    FakeCaller two = open();
    one.send(StatementKind.PREPARE, "s", "shape-1", StatementEffect.READ);
    two.send(StatementKind.PREPARE, "s", "shape-2", StatementEffect.WRITE);

    one.send(StatementKind.EXECUTE, "s", "item", StatementEffect.READ);
    fixture.deliver();
    assertThat(lastExecuted()).startsWith("READ prepared item");
    two.send(StatementKind.EXECUTE, "s", "item", StatementEffect.READ);
    fixture.deliver();
    assertThat(lastExecuted()).startsWith("WRITE prepared item");
  }

  @Test
  void should_refuse_a_name_that_is_not_prepared() {
    FakeCaller caller = open();

    caller.send(StatementKind.EXECUTE, "s", "item", StatementEffect.READ);

    assertThat(caller.failure()).isEqualTo(FailureCode.UNKNOWN_STATEMENT);
  }

  // A connection authenticates as one organisation; other organisations must not use it.
  @Test
  void should_not_share_connections_between_organisations() {
    fixture.setConnections(1);
    open().read();

    fixture.open(PRIMARY_DATABASE, LAB_KEY).read();

    assertThat(fixture.first.organisations).containsExactly("shop", "lab").inOrder();
    assertThat(fixture.first.openConnections).isEqualTo(1);
  }

  @Test
  void should_refuse_a_withdrawn_key_in_an_open_session() {
    FakeCaller caller = open();
    caller.read();
    fixture.setKeys(Map.of(LAB_KEY, LAB));

    caller.read();

    assertThat(caller.failure()).isEqualTo(FailureCode.ACCESS_DENIED);
    assertThat(caller.closed).isTrue();
  }

  @Test
  void should_roll_back_the_transaction_of_a_withdrawn_key() {
    FakeCaller caller = open();
    caller.run(StatementKind.BEGIN, "BEGIN");
    caller.write();
    fixture.setKeys(Map.of(LAB_KEY, LAB));

    caller.run(StatementKind.COMMIT, "COMMIT");

    assertThat(caller.failure()).isEqualTo(FailureCode.ABORTED);
    assertThat(fixture.first.executedStatements).doesNotContain("COMMIT");
  }

  // Open sessions of a key must not continue under another organisation after the key is
  // reassigned.
  @Test
  void should_refuse_a_key_that_was_reassigned_to_another_organisation() {
    FakeCaller caller = open();
    fixture.setKeys(Map.of(SHOP_KEY, LAB, LAB_KEY, LAB));

    caller.read();

    assertThat(caller.failure()).isEqualTo(FailureCode.ACCESS_DENIED);
  }

  @Test
  void should_refuse_unknown_databases_and_keys() {
    assertThat(fixture.open("nothing", SHOP_KEY).refusals)
        .containsExactly(FailureCode.UNKNOWN_DATABASE);
    assertThat(fixture.open(PRIMARY_DATABASE, "no-key").refusals)
        .containsExactly(FailureCode.ACCESS_DENIED);
  }

  @Test
  void should_answer_pipelined_statements_in_order() {
    FakeCaller caller = open();
    caller.send(StatementKind.BEGIN, "BEGIN");
    caller.send(StatementKind.WRITE, "WRITE item data");
    caller.send(StatementKind.COMMIT, "COMMIT");
    fixture.deliver();

    assertThat(caller.answers).hasSize(3);
    assertThat(caller.status).isEqualTo(SessionStatus.IDLE);
    assertThat(fixture.first.executedStatements).contains("COMMIT");
  }

  // Two statements of one session ran at the same time, and their answers could change places.
  @Test
  void should_serve_one_statement_at_a_time_when_it_is_resumed_while_it_answers() {
    FakeCaller caller = open();
    caller.resumesWhileAnswered = true;
    caller.send(StatementKind.WRITE, "WRITE a 1");
    caller.send(StatementKind.WRITE, "WRITE b 2");
    caller.send(StatementKind.WRITE, "WRITE c 3");
    fixture.deliver();

    assertThat(caller.answers).hasSize(3);
    assertThat(fixture.first.executedStatements)
        .containsExactly("WRITE a 1 {}", "WRITE b 2 {}", "WRITE c 3 {}")
        .inOrder();
    assertThat(fixture.first.openConnections).isEqualTo(1);
  }

  // A planned stop must not interrupt open transactions.
  @Test
  void should_close_only_idle_sessions() {
    FakeCaller idle = open();
    FakeCaller inTransaction = open();
    inTransaction.run(StatementKind.BEGIN, "BEGIN");
    fixture.advanceTime(FIRST_STATEMENT_WAIT);

    fixture.gateway.closeIdleSessions();

    assertThat(idle.closed).isTrue();
    assertThat(inTransaction.closed).isFalse();
    inTransaction.run(StatementKind.ROLLBACK, "ROLLBACK");
    assertThat(inTransaction.closed).isTrue();
  }

  // The first statement of a caller that has just connected is on its way.
  @Test
  void should_not_close_a_session_before_its_first_statement_can_arrive() {
    FakeCaller caller = open();

    fixture.gateway.closeIdleSessions();
    assertThat(caller.closed).isFalse();
    caller.read();

    assertThat(caller.last()).isInstanceOf(Answer.Success.class);
    assertThat(caller.closed).isTrue();
  }

  // The rest of a long statement is on its way.
  @Test
  void should_not_close_a_session_that_has_received_a_part_of_a_statement() {
    FakeCaller caller = open();
    caller.read();
    caller.receiving = true;

    fixture.gateway.closeIdleSessions();
    assertThat(caller.closed).isFalse();
    caller.receiving = false;
    caller.read();

    assertThat(caller.last()).isInstanceOf(Answer.Success.class);
    assertThat(caller.closed).isTrue();
  }

  // With a steady stream of statements, a session is never idle.
  @Test
  void should_refuse_pipelined_statements_that_have_not_started_when_the_proxy_stops() {
    FakeCaller caller = open();
    caller.send(StatementKind.WRITE, "WRITE item first");
    caller.send(StatementKind.WRITE, "WRITE item second");
    fixture.gateway.stopAccepting();
    fixture.deliver();

    assertThat(caller.answers).hasSize(2);
    assertThat(caller.answers.get(0)).isInstanceOf(Answer.Success.class);
    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(caller.closed).isTrue();
    assertThat(fixture.first.executedStatements).doesNotContain("WRITE item second {}");
  }

  @Test
  void should_let_a_transaction_end_but_not_go_on_when_the_proxy_stops() {
    FakeCaller ending = open();
    ending.run(StatementKind.BEGIN, "BEGIN");
    ending.run(StatementKind.WRITE, "WRITE item data");
    FakeCaller goingOn = open();
    goingOn.run(StatementKind.BEGIN, "BEGIN");
    goingOn.run(StatementKind.WRITE, "WRITE item data");

    fixture.gateway.stopAccepting();
    ending.run(StatementKind.COMMIT, "COMMIT");
    goingOn.run(StatementKind.WRITE, "WRITE item more");

    assertThat(ending.last()).isInstanceOf(Answer.Success.class);
    assertThat(goingOn.failure()).isEqualTo(FailureCode.ABORTED);
    assertThat(goingOn.status).isEqualTo(SessionStatus.FAILED_TRANSACTION);
  }

  @Test
  void should_refuse_sessions_that_open_when_the_proxy_stops() {
    fixture.gateway.stopAccepting();

    assertThat(open().refusals).containsExactly(FailureCode.OVERLOADED);
  }

  // A process that ends without an answer leaves its caller to guess.
  @Test
  void should_answer_all_outstanding_statements_before_sessions_end() {
    FakeCaller committer = open();
    committer.run(StatementKind.BEGIN, "BEGIN");
    committer.run(StatementKind.WRITE, "WRITE item data");
    FakeCaller writer = open();
    writer.write();
    writer.answers.clear();
    writer.send(StatementKind.WRITE, "WRITE item first");
    writer.send(StatementKind.READ, "READ item");
    committer.send(StatementKind.COMMIT, "COMMIT");

    fixture.gateway.endSessions();

    assertThat(writer.answers).hasSize(2);
    assertThat(((Answer.Failure) writer.answers.get(0)).code())
        .isEqualTo(FailureCode.UNKNOWN_OUTCOME);
    assertThat(writer.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(committer.failure()).isEqualTo(FailureCode.UNKNOWN_OUTCOME);
    assertThat(writer.closed).isTrue();
    assertThat(committer.closed).isTrue();
  }
}
