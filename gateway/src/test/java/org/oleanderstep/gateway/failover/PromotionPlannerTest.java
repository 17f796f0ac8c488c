package org.oleanderstep.gateway.failover;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.placement.EvacuatedDomains;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.TargetMember;

class PromotionPlannerTest {

  private static final MemberId ONE = new MemberId("one");
  private static final MemberId TWO = new MemberId("two");
  private static final MemberId THREE = new MemberId("three");
  private static final int VMS = 5;

  private final PromotionPlanner planner = new PromotionPlanner();
  private List<TargetMember> members =
      List.of(member(ONE, true, false), member(TWO, false, false), member(THREE, false, false));
  private Map<MemberId, Integer> votes = Map.of();
  private Set<MemberId> suspects = Set.of();
  private Map<MemberId, LogPosition> positions =
      Map.of(TWO, new LogPosition(1, 10), THREE, new LogPosition(1, 20));
  private Map<String, Integer> syncReplicas = Map.of();
  private int rank;
  private EvacuatedDomains evacuated = EvacuatedDomains.NONE;
  private long now = Duration.ofHours(1).toNanos();

  private static TargetMember member(MemberId id, boolean primary, boolean draining) {
    return member(id, "zone", primary, draining);
  }

  private static TargetMember member(
      MemberId id, String domain, boolean primary, boolean draining) {
    int port = 1 + List.of(ONE, TWO, THREE).indexOf(id);
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    return new TargetMember(id, 1, "main", address, domain, 2, draining, primary);
  }

  private PromotionPlanner.View view() {
    return new PromotionPlanner.View(
        members, votes, suspects, positions, syncReplicas, VMS, rank, evacuated);
  }

  /** Plans with members that, when asked, report the last known positions. */
  private List<Promotion> planPromotions() {
    return planPromotions(positions);
  }

  private List<Promotion> planPromotions(Map<MemberId, LogPosition> reported) {
    List<Promotion> promotions = new ArrayList<>();
    for (PromotionNeed need : planner.findNeeds(view(), now)) {
      Map<MemberId, LogPosition> answers = new HashMap<>(reported);
      answers.keySet().retainAll(planner.membersToAsk(need, view(), now));
      planner.choose(need, answers, view(), now).ifPresent(promotions::add);
    }
    return promotions;
  }

  private void advanceTime(Duration time) {
    now += time.toNanos();
  }

  @Test
  void should_keep_a_primary_that_answers() {
    assertThat(planPromotions()).isEmpty();
  }

  @Test
  void should_promote_the_replica_with_the_highest_position() {
    votes = Map.of(ONE, 3);

    assertThat(planPromotions())
        .containsExactly(new Promotion("main", THREE, PromotionReason.UNREACHABLE));
  }

  private void evacuate(String... domains) {
    members =
        List.of(
            member(ONE, "a", true, false),
            member(TWO, "b", false, false),
            member(THREE, "c", false, false));
    evacuated = new EvacuatedDomains(Set.of(domains));
  }

  @Test
  void should_promote_a_member_elsewhere_when_the_primary_is_evacuated() {
    evacuate("a");

    assertThat(planPromotions())
        .containsExactly(new Promotion("main", THREE, PromotionReason.EVACUATED));
  }

  // A member that is evacuated as well could be sent nothing after its promotion.
  @Test
  void should_neither_ask_nor_promote_an_evacuated_member() {
    evacuate("a", "c");
    PromotionNeed need = new PromotionNeed("main", PromotionReason.EVACUATED);

    assertThat(planner.membersToAsk(need, view(), now)).containsExactly(TWO);
    assertThat(planner.choose(need, positions, view(), now))
        .hasValue(new Promotion("main", TWO, PromotionReason.EVACUATED));
  }

  @Test
  void should_not_send_a_promotion_that_an_evacuation_has_overtaken() {
    votes = Map.of(ONE, 3);
    Promotion promotion = planPromotions().get(0);

    evacuate("c");

    assertThat(planner.isNeeded(promotion, view())).isFalse();
  }

  // The replica that can't be asked may have the only copy of an acknowledged commit.
  @Test
  void should_not_promote_past_an_evacuated_replica_that_may_have_a_commit() {
    syncReplicas = Map.of("main", 1);
    planPromotions();
    evacuate("a", "c");

    assertThat(planPromotions()).isEmpty();
  }

  @Test
  void should_promote_nobody_when_all_members_are_evacuated() {
    evacuate("a", "b", "c");

    assertThat(planPromotions()).isEmpty();
  }

  // The primary stays where it is when only replicas are evacuated, or the evacuation has ended.
  @Test
  void should_keep_a_primary_outside_of_the_evacuated_failure_domains() {
    evacuate("b", "c");
    assertThat(planPromotions()).isEmpty();

    evacuate();
    assertThat(planPromotions()).isEmpty();
  }

  // The entries still show the old primary; the commits of its successor would be lost.
  @Test
  void should_not_replace_a_member_that_another_vm_has_just_promoted() {
    votes = Map.of(ONE, 3);
    planner.onPromotedElsewhere("main", now);

    assertThat(planPromotions()).isEmpty();
    advanceTime(Duration.ofSeconds(2));
    assertThat(planPromotions()).isEmpty();

    advanceTime(Duration.ofSeconds(1));
    assertThat(planPromotions()).hasSize(1);
  }

  // A single partitioned VM must not replace a primary that serves all other VMs.
  @Test
  void should_not_promote_on_the_vote_of_a_single_vm() {
    votes = Map.of(ONE, 1);
    suspects = Set.of(ONE);

    assertThat(planPromotions()).isEmpty();
  }

  // Two of five VMs and the replicas are partitioned from a primary that serves the other three
  // VMs. Replacing it made the service unavailable to those three (incident inc-c1a3).
  @Test
  void should_not_replace_a_primary_that_most_vms_can_reach() {
    votes = Map.of(ONE, 2);

    assertThat(planPromotions()).isEmpty();
  }

  // A former primary returns with commits that its successor lacks. If it were promoted again,
  // these would reappear and the commits of its successor would be lost; reads in between were
  // stale (incident inc-c1a3).
  @Test
  void should_not_choose_a_former_primary_that_has_not_followed_its_successor() {
    positions = Map.of(ONE, new LogPosition(1, 38), TWO, new LogPosition(2, 29));
    planPromotions();
    members = List.of(member(ONE, false, false), member(TWO, true, false));
    votes = Map.of(TWO, 3);

    assertThat(planPromotions()).isEmpty();
    positions = Map.of(ONE, new LogPosition(2, 29), TWO, new LogPosition(2, 30));
    assertThat(planPromotions())
        .containsExactly(new Promotion("main", ONE, PromotionReason.UNREACHABLE));
  }

  // No operator is needed: a service without any other candidate gets a primary eventually.
  @Test
  void should_choose_a_former_primary_when_no_other_candidate_appears() {
    positions = Map.of(ONE, new LogPosition(1, 38), TWO, new LogPosition(2, 29));
    planPromotions();
    members = List.of(member(ONE, false, false), member(TWO, true, false));
    votes = Map.of(TWO, 3);
    planPromotions();

    advanceTime(Duration.ofSeconds(16));

    assertThat(planPromotions())
        .containsExactly(new Promotion("main", ONE, PromotionReason.UNREACHABLE));
  }

  @Test
  void should_not_choose_a_member_that_does_not_answer() {
    votes = Map.of(ONE, 3);
    suspects = Set.of(THREE);

    assertThat(planPromotions().get(0).member()).isEqualTo(TWO);
  }

  @Test
  void should_replace_a_draining_primary() {
    members = List.of(member(ONE, true, true), member(TWO, false, false));

    assertThat(planPromotions())
        .containsExactly(new Promotion("main", TWO, PromotionReason.LEAVING));
  }

  @Test
  void should_not_choose_a_draining_member() {
    members =
        List.of(member(ONE, true, true), member(TWO, false, false), member(THREE, false, true));

    assertThat(planPromotions().get(0).member()).isEqualTo(TWO);
  }

  // Entries expire while the platform is unavailable, and reappear within two seconds of its
  // return.
  @Test
  void should_delay_the_replacement_of_a_primary_whose_entry_has_disappeared() {
    planPromotions();
    members = List.of(member(TWO, false, false), member(THREE, false, false));

    assertThat(planPromotions()).isEmpty();
    advanceTime(Duration.ofSeconds(2));
    assertThat(planPromotions()).isEmpty();
    advanceTime(Duration.ofMillis(400));
    assertThat(planPromotions())
        .containsExactly(new Promotion("main", THREE, PromotionReason.MISSING));
  }

  // The confirmation of a missing entry started anew while a promotion was due to be repeated.
  @Test
  void should_not_delay_the_replacement_of_an_unreachable_primary_when_its_entry_expires() {
    votes = Map.of(ONE, 3);
    Promotion promotion = planPromotions().get(0);
    planner.onResult(promotion, PromotionResult.UNKNOWN, now);
    members = List.of(member(TWO, false, false), member(THREE, false, false));

    advanceTime(Duration.ofMillis(450));
    assertThat(planPromotions()).containsExactly(promotion);
    votes = Map.of();
    assertThat(planPromotions()).isEmpty();
  }

  @Test
  void should_let_a_new_service_choose_its_first_primary() {
    members = List.of(member(TWO, false, false), member(THREE, false, false));
    planPromotions();
    advanceTime(Duration.ofSeconds(10));

    assertThat(planPromotions()).isEmpty();
  }

  // All VMs decide independently; the second in rank acts only if the first does not.
  @Test
  void should_wait_for_vms_that_come_first_in_rank() {
    rank = 1;
    votes = Map.of(ONE, 3);

    assertThat(planPromotions()).isEmpty();
    advanceTime(Duration.ofMillis(750));
    assertThat(planPromotions()).hasSize(1);
  }

  @Test
  void should_not_request_again_while_a_promotion_takes_effect() {
    votes = Map.of(ONE, 3);
    Promotion promotion = planPromotions().get(0);
    planner.onStarted(new PromotionNeed(promotion.service(), promotion.reason()), now);
    planner.onResult(promotion, PromotionResult.ACCEPTED, now);

    advanceTime(Duration.ofSeconds(1));
    assertThat(planPromotions()).isEmpty();
  }

  // A member that the platform refuses may not be running; another one must be tried soon.
  @Test
  void should_choose_another_member_after_a_refusal() {
    votes = Map.of(ONE, 3);
    Promotion promotion = planPromotions().get(0);
    planner.onStarted(new PromotionNeed(promotion.service(), promotion.reason()), now);
    planner.onResult(promotion, PromotionResult.REFUSED, now);

    advanceTime(Duration.ofMillis(450));
    assertThat(planPromotions().get(0).member()).isEqualTo(TWO);
  }

  // The last known positions were those of the time before one replica stopped receiving.
  @Test
  void should_choose_by_the_positions_that_members_report_after_the_loss() {
    planPromotions();
    votes = Map.of(ONE, 3);

    assertThat(planPromotions(Map.of(TWO, new LogPosition(1, 30), THREE, new LogPosition(1, 20))))
        .containsExactly(new Promotion("main", TWO, PromotionReason.UNREACHABLE));
  }

  @Test
  void should_not_choose_a_member_that_does_not_answer_when_it_is_asked() {
    votes = Map.of(ONE, 3);

    assertThat(planPromotions(Map.of())).isEmpty();
    assertThat(planPromotions(Map.of(TWO, new LogPosition(1, 5))))
        .containsExactly(new Promotion("main", TWO, PromotionReason.UNREACHABLE));
  }

  // The member that does not answer may be the only one with an acknowledged commit.
  @Test
  void should_wait_for_every_replica_that_may_have_an_acknowledged_commit() {
    syncReplicas = Map.of("main", 1);
    planPromotions();
    votes = Map.of(ONE, 3);

    assertThat(planPromotions(Map.of(THREE, new LogPosition(1, 20)))).isEmpty();
    members = List.of(member(ONE, true, false), member(THREE, false, false));
    assertThat(planPromotions(Map.of(THREE, new LogPosition(1, 20)))).isEmpty();
    members =
        List.of(member(ONE, true, false), member(TWO, false, false), member(THREE, false, false));
    assertThat(planPromotions(Map.of(TWO, new LogPosition(1, 25), THREE, new LogPosition(1, 20))))
        .containsExactly(new Promotion("main", TWO, PromotionReason.UNREACHABLE));
  }

  @Test
  void should_need_fewer_answers_the_more_replicas_confirm_a_commit() {
    syncReplicas = Map.of("main", 2);
    planPromotions();
    votes = Map.of(ONE, 3);

    assertThat(planPromotions(Map.of(THREE, new LogPosition(1, 20))))
        .containsExactly(new Promotion("main", THREE, PromotionReason.UNREACHABLE));
  }

  // A planned stop loses commits just as a crash does.
  @Test
  void should_replace_a_draining_primary_by_the_replica_with_every_acknowledged_commit() {
    syncReplicas = Map.of("main", 1);
    members =
        List.of(member(ONE, true, true), member(TWO, false, true), member(THREE, false, false));

    assertThat(planPromotions(Map.of(TWO, new LogPosition(1, 25), THREE, new LogPosition(1, 20))))
        .containsExactly(new Promotion("main", TWO, PromotionReason.LEAVING));
  }

  // The platform refused the member with the highest position; the next one lacks commits.
  @Test
  void should_not_fall_back_to_a_replica_that_lacks_an_acknowledged_commit() {
    syncReplicas = Map.of("main", 1);
    votes = Map.of(ONE, 3);
    Promotion promotion = planPromotions().get(0);
    planner.onResult(promotion, PromotionResult.REFUSED, now);

    advanceTime(Duration.ofMillis(450));
    assertThat(planPromotions()).isEmpty();
    advanceTime(Duration.ofSeconds(3));
    assertThat(planPromotions()).containsExactly(promotion);
  }

  // Nothing waits for an operator: a replica that has left for good does not come back.
  @Test
  void should_not_wait_for_a_replica_that_has_left_long_ago() {
    syncReplicas = Map.of("main", 1);
    planPromotions();
    votes = Map.of(ONE, 3);
    members = List.of(member(ONE, true, false), member(THREE, false, false));
    planPromotions();

    advanceTime(Duration.ofSeconds(61));
    assertThat(planPromotions(Map.of(THREE, new LogPosition(1, 20)))).hasSize(1);
  }

  @Test
  void should_not_promote_after_the_primary_has_answered_again() {
    votes = Map.of(ONE, 3);
    PromotionNeed need = planner.findNeeds(view(), now).get(0);
    Promotion promotion = planner.choose(need, positions, view(), now).get();
    assertThat(planner.isNeeded(promotion, view())).isTrue();
    votes = Map.of();

    assertThat(planner.choose(need, positions, view(), now)).isEmpty();
    assertThat(planner.isNeeded(promotion, view())).isFalse();
  }
}
