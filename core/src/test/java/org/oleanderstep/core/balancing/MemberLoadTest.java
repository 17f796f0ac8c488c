package org.oleanderstep.core.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MemberLoadTest {

  private static final MemberLoad.Situation IDLE = new MemberLoad.Situation(1, 0, 0, 4);

  private long now = Duration.ofHours(1).toNanos();
  private final MemberLoad load = new MemberLoad(now);

  private void succeed(int count, double ratio) {
    for (int i = 0; i < count; i++) {
      now += Duration.ofMillis(300).toNanos();
      load.onSuccess(ratio, now);
    }
  }

  private double expected() {
    return load.expectedMillis(10, IDLE, now);
  }

  // A VM sees only a few statements a second of each member.
  @Test
  void should_notice_a_slow_member_by_few_replies() {
    succeed(20, 1);
    succeed(3, 6);

    assertThat(expected()).isGreaterThan(25.0);
  }

  // A member that is not used sends no replies, and would otherwise seem slow for ever.
  @Test
  void should_forget_a_slow_member_within_seconds() {
    succeed(20, 6);
    now += Duration.ofSeconds(30).toNanos();

    assertThat(expected()).isLessThan(15.0);
  }

  @Test
  void should_expect_more_time_while_a_statement_is_not_answered() {
    succeed(20, 1);

    assertThat(load.expectedMillis(10, new MemberLoad.Situation(1, 30, 0, 4), now))
        .isGreaterThan(90.0);
  }

  @Test
  void should_expect_more_time_after_failures_and_refusals() {
    succeed(6, 1);
    double usual = expected();
    load.onRefusal(now);
    load.onRefusal(now);
    double refused = expected();
    load.onFailure(now);
    load.onFailure(now);

    assertThat(refused).isGreaterThan(usual);
    assertThat(expected()).isGreaterThan(refused);
  }

  @Test
  void should_give_a_returning_member_its_part_gradually() {
    load.startSlowly(now);
    double atOnce = expected();
    now += Duration.ofSeconds(6).toNanos();

    assertThat(atOnce).isGreaterThan(3 * expected());
  }

  // Statements of different kinds differ in work by more than members differ in speed.
  @Test
  void should_compare_each_kind_of_statement_with_itself() {
    ReferenceLatencies<String> references = new ReferenceLatencies<>();
    for (int i = 0; i < 100; i++) {
      now += Duration.ofMillis(100).toNanos();
      references.record("short", 3_000_000, now);
      references.record("long", 55_000_000, now);
    }

    assertThat(references.ratio("long", 55_000_000)).isWithin(0.01).of(1);
    assertThat(references.ratio("short", 18_000_000)).isWithin(0.01).of(6);
    assertThat(references.ratio("unknown", 18_000_000)).isEqualTo(1.0);
  }
}
