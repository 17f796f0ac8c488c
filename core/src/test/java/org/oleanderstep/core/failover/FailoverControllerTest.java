package org.oleanderstep.core.failover;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.failover.FailoverAction.PrimaryChanged;
import org.oleanderstep.core.failover.FailoverAction.SendFence;
import org.oleanderstep.core.failover.FailoverAction.SendPromote;
import org.oleanderstep.core.failover.FailoverAction.SwitchoverFinished;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.position.LogPosition;

/**
 * Tests the controller with a group of the members a (primary of term 1), b and c.
 *
 * <p>Behaviour that depends on the network is tested by the simulations in {@code
 * org.oleanderstep.core.simulation}.
 */
class FailoverControllerTest {

  private static final MemberId A = new MemberId("a");
  private static final MemberId B = new MemberId("b");
  private static final MemberId C = new MemberId("c");
  private static final long MILLI = 1_000_000L;

  private final FailoverController controller = newController("instance-1");
  private final List<FailoverAction> actions = new ArrayList<>();
  private long now = -5_000 * MILLI;

  private static FailoverController newController(String instance) {
    FailoverController controller =
        new FailoverController(
            FailoverSettings.DEFAULT,
            new DatabaseId("service", "orders"),
            new VmId("vm-1"),
            instance,
            List.of(A, B, C),
            new SplittableRandom(1));
    controller.onLivePeers(List.of(new VmId("vm-1")));
    return controller;
  }

  private static MemberStatus status(
      MemberId member, long term, long promised, long index, long silenceMillis) {
    boolean isPrimary = member.equals(A) && term == 1 && promised == 1;
    LogPosition position = new LogPosition(1, index);
    return new MemberStatus(
        member,
        "i",
        isPrimary ? MemberRole.PRIMARY : MemberRole.REPLICA,
        term,
        promised,
        "candidate",
        position,
        position,
        Duration.ofMillis(silenceMillis),
        isPrimary,
        false,
        Optional.of(A));
  }

  @BeforeEach
  void reportInitialPrimary() {
    actions.addAll(controller.onStatus(status(A, 1, 1, 10, 0), now));
    assertThat(actions).containsExactly(new PrimaryChanged(A, 1));
    actions.clear();
  }

  /** Advances the time while b and c answer and a is silent. */
  private void runWithSilentPrimary(long millis) {
    for (long waited = 0; waited < millis; waited += 50) {
      now += 50 * MILLI;
      actions.addAll(controller.onTick(now));
      if (waited % 200 == 0) {
        actions.addAll(controller.onStatus(status(B, 1, 1, 10, waited), now));
        actions.addAll(controller.onStatus(status(C, 1, 1, 9, waited), now));
      }
    }
  }

  private void runUntilFencing() {
    for (long waited = 0; controller.phase() != Phase.FENCING; waited += 50) {
      now += 50 * MILLI;
      actions.addAll(controller.onStatus(status(B, 1, 1, 10, waited), now));
      actions.addAll(controller.onStatus(status(C, 1, 1, 9, waited), now));
    }
  }

  private void replyToFence(MemberId member, long index, boolean accepted) {
    MemberStatus status = status(member, 1, 2, index, 0);
    actions.addAll(controller.onFenceReply(member, 2, accepted, status, now));
  }

  @Test
  void should_fence_all_members_and_promote_the_most_advanced() {
    runUntilFencing();
    assertThat(now + 5_000 * MILLI).isAtLeast(1_500 * MILLI);
    assertThat(actions)
        .containsExactly(new SendFence(A, 2), new SendFence(B, 2), new SendFence(C, 2));
    actions.clear();
    replyToFence(C, 9, true);
    assertThat(actions).isEmpty();
    replyToFence(B, 10, true);
    assertThat(actions).containsExactly(new SendPromote(B, 2));
    assertThat(controller.primary()).isEqualTo(Optional.empty());
    actions.clear();
    MemberStatus promoted = status(B, 2, 2, 10, 0);
    actions.addAll(controller.onPromoteReply(B, 2, true, promoted, now));
    assertThat(controller.phase()).isEqualTo(Phase.WATCHING);
  }

  // A lost reply must not make the whole attempt fail.
  @Test
  void should_repeat_an_unanswered_fence_within_the_attempt() {
    runUntilFencing();
    replyToFence(C, 9, true);
    actions.clear();
    now += 100 * MILLI;
    actions.addAll(controller.onTick(now));
    assertThat(actions).containsExactly(new SendFence(A, 2), new SendFence(B, 2));
  }

  @Test
  void should_retry_with_a_higher_term_after_a_refused_promotion() {
    runUntilFencing();
    replyToFence(C, 9, true);
    replyToFence(B, 10, true);
    actions.addAll(controller.onPromoteReply(B, 2, false, status(B, 1, 2, 10, 0), now));
    assertThat(controller.phase()).isEqualTo(Phase.BACKING_OFF);
    actions.clear();
    runWithSilentPrimary(400);
    assertThat(actions).contains(new SendFence(B, 3));
  }

  // Guards H2 (no write is acknowledged by an old primary). A promise of an earlier term does not
  // stop a primary of a term in between.
  @Test
  void should_not_count_a_late_promise_of_an_earlier_attempt() {
    runUntilFencing();
    replyToFence(C, 9, true);
    while (!actions.contains(new SendFence(B, 3))) {
      runWithSilentPrimary(50);
    }
    actions.clear();
    replyToFence(C, 9, true);
    actions.addAll(controller.onFenceReply(B, 3, true, status(B, 1, 3, 10, 0), now));
    assertThat(controller.phase()).isEqualTo(Phase.FENCING);
    assertThat(actions.stream().filter(SendPromote.class::isInstance).toList()).isEmpty();
    actions.addAll(controller.onFenceReply(C, 3, true, status(C, 1, 3, 9, 0), now));
    assertThat(actions).contains(new SendPromote(B, 3));
  }

  // Guards against a promotion that is based on promises from before a pause.
  @Test
  void should_abandon_the_attempt_after_a_pause_and_observe_the_members_again() {
    runUntilFencing();
    replyToFence(C, 9, true);
    actions.clear();
    now += 3_000 * MILLI;
    replyToFence(B, 10, true);
    assertThat(actions).isEmpty();
    assertThat(controller.phase()).isEqualTo(Phase.RELEARNING);
    actions.addAll(controller.onStatus(status(A, 1, 1, 11, 0), now));
    actions.addAll(controller.onStatus(status(C, 1, 1, 11, 0), now));
    assertThat(controller.phase()).isEqualTo(Phase.WATCHING);
    assertThat(actions).isEmpty();
  }

  // A member that no longer answers this proxy may still have contact to the primary.
  @Test
  void should_not_count_a_member_that_does_not_answer_as_without_primary_contact() {
    for (int i = 0; i < 100; i++) {
      now += 50 * MILLI;
      actions.addAll(controller.onStatusFailure(A, now));
      actions.addAll(controller.onStatusFailure(B, now));
      actions.addAll(controller.onStatus(status(C, 1, 1, 9, 0), now));
    }
    assertThat(actions).isEmpty();
  }

  // Guards against two processes that use the same promise.
  @Test
  void should_use_a_new_candidate_name_after_a_restart() {
    assertThat(newController("instance-2").candidate()).isNotEqualTo(controller.candidate());
  }

  @Test
  void should_treat_a_peer_report_only_as_a_hint() {
    actions.addAll(controller.onPeerReport(2, B, now));
    assertThat(actions).isEmpty();
    assertThat(controller.primary()).isEqualTo(Optional.empty());
    assertThat(controller.highestTerm()).isEqualTo(2);
  }

  @Test
  void should_refuse_a_switchover_to_a_member_that_cannot_take_over() {
    actions.addAll(controller.requestSwitchover(Optional.of(new MemberId("x")), now));
    actions.addAll(controller.requestSwitchover(Optional.of(B), now));
    assertThat(actions).hasSize(2);
    actions.forEach(action -> assertThat(((SwitchoverFinished) action).succeeded()).isFalse());
  }

  // Guards against the loss of acknowledged entries. A member that rebuilds its data may have lost
  // entries that it acknowledged.
  @Test
  void should_not_count_the_promise_of_a_member_that_rebuilds_its_data() {
    runUntilFencing();
    actions.clear();
    MemberStatus b = status(B, 1, 2, 10, 0);
    MemberStatus joining =
        new MemberStatus(
            B,
            "j",
            MemberRole.JOINING,
            1,
            2,
            "candidate",
            b.received(),
            b.applied(),
            b.primarySilence(),
            false,
            false,
            Optional.empty());
    actions.addAll(controller.onFenceReply(B, 2, true, joining, now));
    replyToFence(C, 9, true);
    assertThat(actions).isEmpty();
  }
}
