package org.oleanderstep.gateway.failover;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.TargetMember;

class PrimaryKeeperTest {

  private static final MemberId ONE = new MemberId("one");
  private static final MemberId TWO = new MemberId("two");
  private static final MemberId THREE = new MemberId("three");
  private static final int VMS = 5;

  private final PrimaryKeeper keeper = new PrimaryKeeper();
  private List<TargetMember> members =
      List.of(member(ONE, true, false), member(TWO, false, false), member(THREE, false, false));
  private Map<MemberId, Integer> votes = Map.of();
  private Set<MemberId> suspects = Set.of();
  private Map<MemberId, LogPosition> positions =
      Map.of(TWO, new LogPosition(1, 10), THREE, new LogPosition(1, 20));
  private int rank;
  private long now = Duration.ofHours(1).toNanos();

  private static TargetMember member(MemberId id, boolean primary, boolean draining) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return new TargetMember(id, 1, "main", address, "zone", 2, draining, primary);
  }

  private List<Promotion> decide() {
    return keeper.decide(
        new PrimaryKeeper.View(members, votes, suspects, positions, VMS, rank), now);
  }

  private void pass(Duration time) {
    now += time.toNanos();
  }

  @Test
  void should_leave_a_primary_that_answers() {
    assertThat(decide()).isEmpty();
  }

  @Test
  void should_promote_the_replica_with_the_highest_position() {
    votes = Map.of(ONE, 3);

    assertThat(decide()).containsExactly(new Promotion("main", THREE, PromotionReason.UNREACHABLE));
  }

  // One VM that is cut off must not replace a primary that serves all others.
  @Test
  void should_not_promote_on_the_word_of_one_vm() {
    votes = Map.of(ONE, 1);
    suspects = Set.of(ONE);

    assertThat(decide()).isEmpty();
  }

  // Two of five VMs and the replicas are cut off from a primary that serves the other three VMs.
  // Replacing it took the service away from those three (incident inc-c1a3).
  @Test
  void should_not_replace_a_primary_that_most_vms_reach() {
    votes = Map.of(ONE, 2);

    assertThat(decide()).isEmpty();
  }

  // A former primary comes back with commits that its successor lacks. Leading again it would bring
  // them back and lose those of its successor; reads in between were stale (incident inc-c1a3).
  @Test
  void should_not_choose_a_former_primary_that_has_not_followed() {
    positions = Map.of(ONE, new LogPosition(1, 38), TWO, new LogPosition(2, 29));
    decide();
    members = List.of(member(ONE, false, false), member(TWO, true, false));
    votes = Map.of(TWO, 3);

    assertThat(decide()).isEmpty();
    positions = Map.of(ONE, new LogPosition(2, 29), TWO, new LogPosition(2, 30));
    assertThat(decide()).containsExactly(new Promotion("main", ONE, PromotionReason.UNREACHABLE));
  }

  // Nothing waits for an operator: a service without any other member gets a primary in the end.
  @Test
  void should_choose_a_former_primary_when_nobody_else_comes() {
    positions = Map.of(ONE, new LogPosition(1, 38), TWO, new LogPosition(2, 29));
    decide();
    members = List.of(member(ONE, false, false), member(TWO, true, false));
    votes = Map.of(TWO, 3);
    decide();

    pass(Duration.ofSeconds(16));

    assertThat(decide()).containsExactly(new Promotion("main", ONE, PromotionReason.UNREACHABLE));
  }

  @Test
  void should_not_choose_a_member_that_does_not_answer() {
    votes = Map.of(ONE, 3);
    suspects = Set.of(THREE);

    assertThat(decide().get(0).member()).isEqualTo(TWO);
  }

  @Test
  void should_replace_a_primary_that_is_about_to_stop() {
    members = List.of(member(ONE, true, true), member(TWO, false, false));

    assertThat(decide()).containsExactly(new Promotion("main", TWO, PromotionReason.LEAVING));
  }

  @Test
  void should_not_choose_a_member_that_is_about_to_stop() {
    members =
        List.of(member(ONE, true, true), member(TWO, false, false), member(THREE, false, true));

    assertThat(decide().get(0).member()).isEqualTo(TWO);
  }

  // Entries lapse while the platform is away, and come back within two seconds of its return.
  @Test
  void should_wait_before_it_replaces_a_primary_whose_entry_is_gone() {
    decide();
    members = List.of(member(TWO, false, false), member(THREE, false, false));

    assertThat(decide()).isEmpty();
    pass(Duration.ofSeconds(2));
    assertThat(decide()).isEmpty();
    pass(Duration.ofMillis(400));
    assertThat(decide()).containsExactly(new Promotion("main", THREE, PromotionReason.MISSING));
  }

  @Test
  void should_let_a_new_service_choose_its_first_primary() {
    members = List.of(member(TWO, false, false), member(THREE, false, false));
    decide();
    pass(Duration.ofSeconds(10));

    assertThat(decide()).isEmpty();
  }

  // All VMs decide by themselves; the second in rank acts only if the first does not.
  @Test
  void should_wait_for_its_turn() {
    rank = 1;
    votes = Map.of(ONE, 3);

    assertThat(decide()).isEmpty();
    pass(Duration.ofMillis(750));
    assertThat(decide()).hasSize(1);
  }

  @Test
  void should_not_order_again_while_a_promotion_settles() {
    votes = Map.of(ONE, 3);
    Promotion promotion = decide().get(0);
    keeper.onOrdered(promotion, now);
    keeper.onResult(promotion, PromotionResult.ACCEPTED, now);

    pass(Duration.ofSeconds(1));
    assertThat(decide()).isEmpty();
  }

  // A member that the platform refuses does not run; another one must get its turn soon.
  @Test
  void should_choose_another_member_after_a_refusal() {
    votes = Map.of(ONE, 3);
    Promotion promotion = decide().get(0);
    keeper.onOrdered(promotion, now);
    keeper.onResult(promotion, PromotionResult.REFUSED, now);

    pass(Duration.ofMillis(450));
    assertThat(decide().get(0).member()).isEqualTo(TWO);
  }
}
