package org.oleanderstep.gateway.failover;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.gateway.control.TargetMember;

/** Rare checks must not delay the replacement of a primary. */
final class PlanningScheduleTest {

  private static final long STEP = Duration.ofMillis(50).toNanos();
  private static final List<TargetMember> MEMBERS = List.of(member(false, true));

  private final PlanningSchedule schedule = new PlanningSchedule();
  private long now = Duration.ofSeconds(5).toNanos();

  private static TargetMember member(boolean draining, boolean claimsPrimary) {
    return new TargetMember(
        new MemberId("db-1"),
        1,
        "orders",
        InetSocketAddress.createUnresolved("10.0.0.1", 5000),
        "a",
        2,
        draining,
        claimsPrimary);
  }

  private int checksInOneSecond(List<TargetMember> members, boolean mayHaveFailed) {
    int checks = 0;
    for (int i = 0; i < 20; i++) {
      now += STEP;
      checks += schedule.isDue(members, mayHaveFailed, now) ? 1 : 0;
    }
    return checks;
  }

  @Test
  void should_check_rarely_without_a_sign_of_a_failure() {
    assertThat(checksInOneSecond(MEMBERS, false)).isAtMost(4);
  }

  @Test
  void should_check_each_time_while_a_member_may_have_failed() {
    assertThat(checksInOneSecond(MEMBERS, true)).isEqualTo(20);
  }

  @Test
  void should_check_each_time_while_a_member_is_draining() {
    assertThat(checksInOneSecond(List.of(member(true, true)), false)).isEqualTo(20);
  }

  // An entry that no longer claims to be the primary is the first sign of its loss.
  @Test
  void should_check_at_once_after_the_members_have_changed() {
    checksInOneSecond(MEMBERS, false);
    assertThat(schedule.isDue(List.of(member(false, false)), false, now)).isTrue();
  }

  @Test
  void should_not_check_without_members() {
    assertThat(checksInOneSecond(List.of(), true)).isEqualTo(0);
  }
}
