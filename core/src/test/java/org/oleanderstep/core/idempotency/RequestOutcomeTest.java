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

  private static final RequestFailure CONNECTION_LOST = new RequestFailure.ConnectionLost("reset");
  private static final RequestFailure DEADLINE_EXCEEDED =
      new RequestFailure.AbortedByProxy(NotRunReason.DEADLINE, "late");
  private static final RequestFailure REFUSED =
      new RequestFailure.RefusedByTarget(NotRunReason.NO_PRIMARY, "no primary");
  private static final RequestFailure ERROR =
      new RequestFailure.DatabaseError("23505", 1, "duplicate key");
  private static final RequestFingerprint FINGERPRINT = RequestFingerprint.of("insert", List.of());

  private static Set<RequestStage> notRunStages(RequestFailure failure) {
    EnumSet<RequestStage> stages = EnumSet.noneOf(RequestStage.class);
    for (RequestStage stage : RequestStage.values()) {
      if (stage.outcome(failure) instanceof Outcome.NotRun) {
        stages.add(stage);
      }
    }
    return stages;
  }

  // Guards H9: once a byte of a commit was sent, only the target can confirm that nothing ran.
  @Test
  void should_report_not_run_only_where_that_is_certain() {
    Set<RequestStage> beforeCommit =
        EnumSet.range(RequestStage.RECEIVED, RequestStage.SENT_IN_TRANSACTION);
    assertThat(notRunStages(CONNECTION_LOST)).isEqualTo(beforeCommit);
    assertThat(notRunStages(DEADLINE_EXCEEDED)).isEqualTo(beforeCommit);
    assertThat(notRunStages(REFUSED))
        .isEqualTo(EnumSet.range(RequestStage.RECEIVED, RequestStage.SENT_WITH_COMMIT));
    assertThat(notRunStages(new RequestFailure.NotConfirmed("stepped down"))).isEmpty();
  }

  // Guards H9: an SQLSTATE for a lost connection or an unknown result does not imply a rollback.
  @Test
  void should_not_report_an_unknown_result_as_a_database_error() {
    for (String state : List.of("08006", "08007", "40003", "")) {
      RequestFailure unknown = new RequestFailure.DatabaseError(state, 0, "open");
      assertWithMessage(state)
          .that(RequestStage.SENT_WITH_COMMIT.outcome(unknown))
          .isEqualTo(new Outcome.Unknown("open"));
    }
    assertThat(RequestStage.SENT_WITH_COMMIT.outcome(ERROR))
        .isEqualTo(new Outcome.Failed("23505", 1, "duplicate key"));
  }

  // Guards H9 for retries: the outcome of a later attempt does not show whether the first one ran.
  @Test
  void should_stay_unknown_when_an_earlier_attempt_may_have_run() {
    RequestProgress progress = new RequestProgress();
    progress.advanceTo(RequestStage.SENT_WITH_COMMIT);
    assertThat(progress.fail(CONNECTION_LOST)).isInstanceOf(Outcome.Unknown.class);
    progress.startRetry();
    assertThat(progress.fail(DEADLINE_EXCEEDED)).isInstanceOf(Outcome.Unknown.class);
    progress.startRetry();
    progress.advanceTo(RequestStage.SENT_WITH_COMMIT);
    assertThat(progress.fail(ERROR)).isInstanceOf(Outcome.Unknown.class);
    progress.abandonEarlierAttempts();
    progress.startRetry();
    assertThat(progress.fail(DEADLINE_EXCEEDED)).isInstanceOf(Outcome.NotRun.class);
  }

  @Test
  void should_reject_a_return_to_an_earlier_stage() {
    RequestProgress progress = new RequestProgress();
    progress.advanceTo(RequestStage.SENT_WITH_COMMIT);
    assertThrows(IllegalStateException.class, () -> progress.advanceTo(RequestStage.CONNECTED));
  }

  // Guards H10: each state of the row leads to exactly one decision.
  @Test
  void should_decide_from_the_recorded_row() {
    RequestFingerprint other = RequestFingerprint.of("delete", List.of());
    RecordedRequest row = RecordedRequest.completed(FINGERPRINT, new byte[] {1});
    assertThat(IdempotencyDecision.of(Optional.empty(), FINGERPRINT))
        .isEqualTo(new IdempotencyDecision.Run());
    assertThat(IdempotencyDecision.of(Optional.of(row), FINGERPRINT))
        .isEqualTo(new IdempotencyDecision.ReturnRecorded(row));
    assertThat(reasonOf(IdempotencyDecision.of(Optional.of(row), other)))
        .isEqualTo(NotRunReason.BAD_REQUEST);
    Optional<RecordedRequest> abandoned = Optional.of(RecordedRequest.abandoned(FINGERPRINT));
    assertThat(reasonOf(IdempotencyDecision.of(abandoned, FINGERPRINT)))
        .isEqualTo(NotRunReason.TRANSACTION_LOST);
    assertThat(reasonOf(IdempotencyDecision.afterAbandon(Optional.empty(), FINGERPRINT)))
        .isEqualTo(NotRunReason.TRANSACTION_LOST);
    assertThat(IdempotencyDecision.afterAbandon(Optional.of(row), FINGERPRINT))
        .isEqualTo(new IdempotencyDecision.ReturnRecorded(row));
  }

  private static NotRunReason reasonOf(IdempotencyDecision decision) {
    return ((IdempotencyDecision.Reject) decision).outcome().reason();
  }

  // Guards H10: different requests must not be taken for repetitions of each other.
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

  // Guards against retry storms: retries are at most a tenth of the first attempts.
  @Test
  void should_allow_one_retry_per_ten_first_attempts() {
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
  void should_expire_old_credit() {
    long[] now = {0};
    RetryBudget budget = new RetryBudget(100, 5, Duration.ofSeconds(10), () -> now[0]);
    budget.onFirstAttempt();
    now[0] = Duration.ofSeconds(11).toNanos();
    assertThat(budget.tryRetry()).isFalse();
  }

  // Guards H10: the proxy retries only requests that are safe to repeat.
  @Test
  void should_retry_only_requests_that_are_safe_to_repeat() {
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
      StatementKind kind,
      boolean inTransaction,
      boolean hasId,
      boolean rowsForwarded,
      Outcome outcome) {
    RetryBudget budget = new RetryBudget(100, 5, Duration.ofSeconds(10), () -> 0);
    budget.onFirstAttempt();
    return new RetryPolicy(budget)
        .mayRetry(new RetryPolicy.Attempt(kind, inTransaction, hasId, rowsForwarded), outcome);
  }
}
