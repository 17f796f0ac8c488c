package org.oleanderstep.core.idempotency;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.core.routing.StatementKind;

class RequestOutcomeTest {

  private static final RequestFailure LOST = new RequestFailure.ConnectionLost("reset");
  private static final RequestFailure LATE =
      new RequestFailure.GivenUp(NotRunReason.DEADLINE, "late");
  private static final RequestFailure REFUSED =
      new RequestFailure.RefusedByTarget(NotRunReason.NO_PRIMARY, "no primary");
  private static final RequestFailure ERROR =
      new RequestFailure.DatabaseError("23505", 1, "duplicate key");
  private static final RequestFingerprint PRINT = RequestFingerprint.of("insert", List.of());

  private static Set<RequestStage> notRunStages(RequestFailure failure) {
    EnumSet<RequestStage> stages = EnumSet.noneOf(RequestStage.class);
    for (RequestStage stage : RequestStage.values()) {
      if (stage.outcome(failure) instanceof Outcome.NotRun) {
        stages.add(stage);
      }
    }
    return stages;
  }

  // Guards H9: after a byte of a commit was sent, only the target can prove that nothing ran.
  @Test
  void should_say_not_run_only_where_that_is_proved() {
    Set<RequestStage> beforeCommit =
        EnumSet.range(RequestStage.RECEIVED, RequestStage.SENT_IN_TRANSACTION);
    assertThat(notRunStages(LOST)).isEqualTo(beforeCommit);
    assertThat(notRunStages(LATE)).isEqualTo(beforeCommit);
    assertThat(notRunStages(REFUSED))
        .isEqualTo(EnumSet.range(RequestStage.RECEIVED, RequestStage.SENT_WITH_COMMIT));
    assertThat(notRunStages(new RequestFailure.NotConfirmed("stepped down"))).isEmpty();
  }

  // Guards H9: an SQLSTATE of a lost connection or an unknown result is no rollback.
  @Test
  void should_not_take_an_open_result_for_an_error_of_the_database() {
    for (String state : List.of("08006", "08007", "40003", "")) {
      RequestFailure open = new RequestFailure.DatabaseError(state, 0, "open");
      assertWithMessage(state)
          .that(RequestStage.SENT_WITH_COMMIT.outcome(open))
          .isEqualTo(new Outcome.Unknown("open"));
    }
    assertThat(RequestStage.SENT_WITH_COMMIT.outcome(ERROR))
        .isEqualTo(new Outcome.Failed("23505", 1, "duplicate key"));
  }

  // Guards H9 over retries: the second attempt says nothing about the first.
  @Test
  void should_stay_unknown_when_an_earlier_attempt_may_have_run() {
    RequestProgress progress = new RequestProgress();
    progress.reach(RequestStage.SENT_WITH_COMMIT);
    assertThat(progress.fail(LOST)).isInstanceOf(Outcome.Unknown.class);
    progress.startRetry();
    assertThat(progress.fail(LATE)).isInstanceOf(Outcome.Unknown.class);
    progress.startRetry();
    progress.reach(RequestStage.SENT_WITH_COMMIT);
    assertThat(progress.fail(ERROR)).isInstanceOf(Outcome.Unknown.class);
    progress.abandonEarlierAttempts();
    progress.startRetry();
    assertThat(progress.fail(LATE)).isInstanceOf(Outcome.NotRun.class);
  }

  @Test
  void should_reject_a_return_to_an_earlier_stage() {
    RequestProgress progress = new RequestProgress();
    progress.reach(RequestStage.SENT_WITH_COMMIT);
    assertThrows(IllegalStateException.class, () -> progress.reach(RequestStage.CONNECTED));
  }

  // Guards H10: each state of the row has one answer.
  @Test
  void should_decide_by_the_recorded_row() {
    RequestFingerprint other = RequestFingerprint.of("delete", List.of());
    RecordedRequest row = RecordedRequest.completed(PRINT, new byte[] {1});
    assertThat(RepeatDecision.of(Optional.empty(), PRINT)).isEqualTo(new RepeatDecision.Run());
    assertThat(RepeatDecision.of(Optional.of(row), PRINT))
        .isEqualTo(new RepeatDecision.ReturnRecorded(row));
    assertThat(reasonOf(RepeatDecision.of(Optional.of(row), other)))
        .isEqualTo(NotRunReason.BAD_REQUEST);
    Optional<RecordedRequest> abandoned = Optional.of(RecordedRequest.abandoned(PRINT));
    assertThat(reasonOf(RepeatDecision.of(abandoned, PRINT)))
        .isEqualTo(NotRunReason.TRANSACTION_LOST);
    assertThat(reasonOf(RepeatDecision.afterAbandon(Optional.empty(), PRINT)))
        .isEqualTo(NotRunReason.TRANSACTION_LOST);
    assertThat(RepeatDecision.afterAbandon(Optional.of(row), PRINT))
        .isEqualTo(new RepeatDecision.ReturnRecorded(row));
  }

  private static NotRunReason reasonOf(RepeatDecision decision) {
    return ((RepeatDecision.Reject) decision).outcome().reason();
  }

  // Guards H10: requests that differ must not pass for repetitions of each other.
  @Test
  void should_give_different_requests_different_fingerprints() {
    byte[] a = {1};
    byte[] b = {2};
    byte[] ab = {1, 2};
    byte[] empty = {};
    assertThat(
            Set.of(
                RequestFingerprint.of("s", List.of()),
                RequestFingerprint.of("s", List.of(a, b)),
                RequestFingerprint.of("s", List.of(ab)),
                RequestFingerprint.of("s", List.of(b, a)),
                RequestFingerprint.of("s", List.of(empty)),
                RequestFingerprint.of("s", Collections.singletonList(null)),
                RequestFingerprint.of("t", List.of())))
        .hasSize(7);
    assertThat(RequestFingerprint.of("s", List.of(ab)))
        .isEqualTo(RequestFingerprint.of("s", List.of(ab.clone())));
  }

  // Guards against retry storms: never more than a tenth of the first attempts.
  @Test
  void should_allow_one_retry_for_ten_first_attempts() {
    long[] now = {0};
    RetryBudget budget = new RetryBudget(10, 5, Duration.ofSeconds(10), () -> now[0]);
    int retries = 0;
    for (int i = 0; i < 1_000; i++) {
      budget.onFirstAttempt();
      retries += budget.tryRetry() ? 1 : 0;
    }
    assertThat(retries).isEqualTo(100);
    for (int i = 0; i < 1_000; i++) {
      budget.onFirstAttempt();
    }
    for (int i = 0; i < 5; i++) {
      assertThat(budget.tryRetry()).isTrue();
    }
    assertThat(budget.tryRetry()).isFalse();
  }

  @Test
  void should_drop_credit_that_is_old() {
    long[] now = {0};
    RetryBudget budget = new RetryBudget(100, 5, Duration.ofSeconds(10), () -> now[0]);
    budget.onFirstAttempt();
    now[0] = Duration.ofSeconds(11).toNanos();
    assertThat(budget.tryRetry()).isFalse();
  }

  // Guards H10: the proxy repeats on its own only what cannot run twice.
  @Test
  void should_repeat_only_what_cannot_run_twice() {
    Outcome unknown = new Outcome.Unknown("lost");
    Outcome noPrimary = new Outcome.NotRun(NotRunReason.NO_PRIMARY, "");
    assertThat(mayRetry(StatementKind.READ, false, false, false, unknown)).isTrue();
    assertThat(mayRetry(StatementKind.READ, false, false, true, unknown)).isFalse();
    assertThat(mayRetry(StatementKind.READ, true, false, false, unknown)).isFalse();
    assertThat(mayRetry(StatementKind.ROW_CHANGE, false, false, false, unknown)).isFalse();
    assertThat(mayRetry(StatementKind.ROW_CHANGE, false, true, false, unknown)).isTrue();
    assertThat(mayRetry(StatementKind.ROW_CHANGE, false, false, false, noPrimary)).isTrue();
    assertThat(mayRetry(StatementKind.READ, false, true, false, new Outcome.Served())).isFalse();
  }

  private static boolean mayRetry(
      StatementKind kind, boolean inTransaction, boolean hasId, boolean rows, Outcome outcome) {
    RetryBudget budget = new RetryBudget(100, 5, Duration.ofSeconds(10), () -> 0);
    budget.onFirstAttempt();
    return new RetryPolicy(budget)
        .mayRetry(new RetryPolicy.Attempt(kind, inTransaction, hasId, rows), outcome);
  }
}
