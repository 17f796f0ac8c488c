package org.oleanderstep.gateway.session;

import static com.google.common.truth.Truth.assertThat;
import static org.oleanderstep.gateway.GatewayFixture.PRIMARY_DATABASE;
import static org.oleanderstep.gateway.GatewayFixture.SHOP_KEY;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.FakeCaller;
import org.oleanderstep.gateway.FakeMember;
import org.oleanderstep.gateway.GatewayFixture;

/** A member may send a reply again, at any later time; a caller gets the reply to its statement. */
class RepeatedRepliesTest {

  private static final Duration RETRY_TIME = Duration.ofMillis(100);

  private final GatewayFixture fixture = new GatewayFixture();
  private final FakeMember member = fixture.first;
  private FakeCaller caller;

  /** Lets all sessions share one connection. */
  @BeforeEach
  void open() {
    fixture.setConnections(1);
    caller = fixture.open(PRIMARY_DATABASE, SHOP_KEY);
  }

  private void write(String item) {
    caller.send(StatementKind.WRITE, "WRITE " + item);
    settle();
  }

  private void settle() {
    fixture.deliver();
    fixture.advanceTime(RETRY_TIME);
  }

  private String statementOfLastAnswer() {
    return member.statementOfProof.get(((Answer.Success) caller.last()).proof());
  }

  @Test
  void should_not_answer_a_write_with_the_repeated_reply_to_an_earlier_one() {
    write("a");
    caller.send(StatementKind.WRITE, "WRITE b");
    member.repeatLastReply();
    settle();

    assertThat(statementOfLastAnswer()).isEqualTo("WRITE b");
    write("c");
    assertThat(statementOfLastAnswer()).isEqualTo("WRITE c");
    assertThat(member.executedStatements)
        .containsExactly("WRITE a {}", "WRITE b {}", "WRITE c {}")
        .inOrder();
  }

  @Test
  void should_not_answer_a_read_with_the_repeated_reply_to_an_earlier_one() {
    write("a");
    caller.send(StatementKind.READ, "READ b");
    member.repeatLastReply();
    settle();

    assertThat(statementOfLastAnswer()).isEqualTo("READ b");
  }

  @Test
  void should_keep_a_connection_on_which_a_reply_is_repeated_while_it_is_idle() {
    write("a");
    int opened = member.organisations.size();
    member.repeatLastReply();
    write("b");

    assertThat(statementOfLastAnswer()).isEqualTo("WRITE b");
    assertThat(member.organisations).hasSize(opened);
  }

  @Test
  void should_commit_when_the_reply_to_a_statement_of_the_transaction_is_repeated() {
    caller.run(StatementKind.BEGIN, "BEGIN");
    write("a");
    caller.send(StatementKind.COMMIT, "COMMIT");
    member.repeatLastReply();
    settle();

    assertThat(caller.last()).isInstanceOf(Answer.Success.class);
    assertThat(caller.status).isEqualTo(SessionStatus.IDLE);
    assertThat(member.executedStatements).contains("COMMIT");
  }

  // A refused SET was taken for confirmed, and the statement ran without the variable.
  @Test
  void should_not_take_a_repeated_confirmation_for_that_of_a_variable() {
    caller.send(StatementKind.SET, "zone", "a", StatementEffect.READ);
    write("a");
    member.repeatLastReply();
    caller.send(StatementKind.SET, "zone", "b", StatementEffect.READ);
    member.refusedChanges = 1;
    caller.send(StatementKind.WRITE, "WRITE b");
    member.send(Answer.DONE, SessionStatus.IDLE, Optional.of(member.position));
    settle();

    assertThat(member.executedStatements)
        .containsExactly("WRITE a {zone=a}", "WRITE b {zone=b}")
        .inOrder();
    assertThat(statementOfLastAnswer()).isEqualTo("WRITE b");
  }

  // The write ran, and its caller was told that nothing was kept.
  @Test
  void should_not_take_a_repeated_refusal_for_that_of_a_write() {
    member.refusedStatements = 100;
    write("a");
    member.refusedStatements = 0;
    caller.send(StatementKind.WRITE, "WRITE b");
    member.repeatLastRefusal();
    settle();

    assertThat(member.executedStatements).containsExactly("WRITE b {}");
    assertThat(caller.failure().notRun()).isFalse();
  }

  @Test
  void should_recognise_a_repeated_refusal_by_its_position() {
    member.refusedStatements = 1;
    write("a");
    caller.send(StatementKind.WRITE, "WRITE b");
    member.repeatLastRefusal();
    settle();

    assertThat(statementOfLastAnswer()).isEqualTo("WRITE b");
  }

  @Test
  void should_still_tell_that_a_write_was_refused_several_times() {
    member.refusedStatements = 100;
    write("a");

    assertThat(caller.failure()).isEqualTo(FailureCode.OVERLOADED);
    assertThat(member.executedStatements).isEmpty();
  }

  // BEGIN was refused, and a repeated reply stood for that to ROLLBACK, which was refused as well.
  // The write that came next ran, and its caller was told that it was not run.
  @Test
  void should_not_take_the_late_refusal_of_a_rollback_for_that_of_a_write() {
    caller.send(StatementKind.READ, "READ a");
    settle();
    member.refusedBegins = 1;
    member.refusedStatements = 1;
    member.refusesIdleRollbacks = true;
    caller.send(StatementKind.READ, "READ b");
    FakeCaller second = fixture.open(PRIMARY_DATABASE, SHOP_KEY);
    second.send(StatementKind.WRITE, "WRITE c");
    fixture.deliverOne();
    fixture.deliverOne();
    member.send(Answer.DONE, SessionStatus.IDLE, Optional.of(member.position));
    settle();

    assertThat(member.committedStatements).containsExactly("WRITE c");
    assertThat(second.failure().notRun()).isFalse();
  }

  // The statements of the transaction ran outside of it.
  @Test
  void should_not_take_a_repeated_begin_for_that_of_a_transaction() {
    caller.run(StatementKind.BEGIN, "BEGIN");
    write("a");
    caller.run(StatementKind.ROLLBACK, "ROLLBACK");
    member.repeatLastReply();
    caller.run(StatementKind.BEGIN, "BEGIN");
    member.refusedBegins = 1;
    caller.send(StatementKind.WRITE, "WRITE b");
    member.send(Answer.DONE, SessionStatus.IN_TRANSACTION, Optional.of(member.position));
    settle();
    caller.run(StatementKind.ROLLBACK, "ROLLBACK");
    settle();

    LogPosition nothingCommitted = new LogPosition(1, 100);
    assertThat(member.position).isEqualTo(nothingCommitted);
  }

  // The replies to BEGIN and to the commands that confirm it were all dropped as repeated, and
  // further repeated ones took their places. The write ran outside of its transaction, and its
  // caller was told that nothing was kept.
  @Test
  void should_not_confirm_a_begin_by_repeated_replies_alone() {
    member.refusedStatements = 1;
    write("a");
    caller.run(StatementKind.BEGIN, "BEGIN");
    write("b");
    caller.run(StatementKind.ROLLBACK, "ROLLBACK");
    caller.run(StatementKind.BEGIN, "BEGIN");
    member.refusedBegins = 1;
    caller.send(StatementKind.WRITE, "WRITE c");
    repeatBegun();
    fixture.deliver();
    repeatBegun();
    repeatBegun();
    settle();

    assertThat(member.committedStatements).containsExactly("WRITE a");
    assertThat(statementOfLastAnswer()).isEqualTo("WRITE c");
    assertThat(caller.status).isEqualTo(SessionStatus.IN_TRANSACTION);
  }

  private void repeatBegun() {
    member.send(Answer.DONE, SessionStatus.IN_TRANSACTION, Optional.of(member.position));
  }

  // A refused PREPARE counted as confirmed; the replies behind it went to other callers.
  @Test
  void should_not_take_a_repeated_confirmation_for_that_of_a_prepared_statement() {
    write("a");
    caller.send(StatementKind.PREPARE, "s", "shape", StatementEffect.WRITE);
    caller.send(StatementKind.EXECUTE, "s", "k v", StatementEffect.READ);
    member.refusedChanges = 1;
    member.send(Answer.DONE, SessionStatus.IDLE, Optional.of(member.position));
    FakeCaller second = fixture.open(PRIMARY_DATABASE, SHOP_KEY);
    FakeCaller third = fixture.open(PRIMARY_DATABASE, SHOP_KEY);
    second.send(StatementKind.WRITE, "WRITE b");
    third.send(StatementKind.WRITE, "WRITE c");
    settle();

    assertThat(member.committedStatements)
        .containsExactly("WRITE a", "WRITE prepared k v", "WRITE b", "WRITE c");
    Answer.Success last = (Answer.Success) third.last();
    assertThat(member.statementOfProof.get(last.proof())).isEqualTo("WRITE c");
  }

  // The caller's next statement ran outside of its transaction.
  @Test
  void should_not_end_a_transaction_for_the_repeated_refusal_of_another_statement() {
    member.refusedStatements = 100;
    write("a");
    member.refusedStatements = 0;
    caller.run(StatementKind.BEGIN, "BEGIN");
    write("b");
    caller.send(StatementKind.WRITE, "WRITE c");
    member.repeatRefusalWith(SessionStatus.IDLE);
    settle();

    assertThat(statementOfLastAnswer()).isEqualTo("WRITE c");
    assertThat(caller.status).isEqualTo(SessionStatus.IN_TRANSACTION);
  }

  // A former primary, whose log was rolled back, refused a commit; the caller was told that its
  // outcome is unknown.
  @Test
  void should_accept_the_refusal_of_a_member_whose_log_was_rolled_back() {
    caller.run(StatementKind.BEGIN, "BEGIN");
    write("a");
    member.primary = false;
    member.position = new LogPosition(1, 90);
    caller.send(StatementKind.COMMIT, "COMMIT");
    fixture.deliver();

    assertThat(caller.failure()).isEqualTo(FailureCode.READ_ONLY);
  }

  @Test
  void should_close_a_connection_on_a_reply_that_was_not_asked_for() {
    write("a");
    int opened = member.organisations.size();
    member.send(
        new Answer.Success(List.of("row"), "unknown"),
        SessionStatus.IDLE,
        Optional.of(member.position));
    write("b");

    assertThat(statementOfLastAnswer()).isEqualTo("WRITE b");
    assertThat(member.organisations).hasSize(opened + 1);
  }

  @Test
  void should_not_confirm_a_success_without_proof() {
    write("a");
    caller.send(StatementKind.WRITE, "WRITE b");
    member.send(Answer.DONE, SessionStatus.IDLE, Optional.of(member.position));
    settle();

    Answer answer = caller.last();
    assertThat(answer).isNotEqualTo(Answer.DONE);
  }
}
