package org.oleanderstep.core.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.balancing.OutlierEjection.Change;
import org.oleanderstep.core.balancing.OutlierEjection.Observed;

class OutlierEjectionTest {

  private static final Observed<String> PRIMARY = new Observed<>("primary", true, false);
  private static final Observed<String> A = new Observed<>("a", true, true);
  private static final Observed<String> B = new Observed<>("b", true, true);

  private final OutlierEjection<String> ejection = new OutlierEjection<>();
  private long now = Duration.ofHours(1).toNanos();

  private List<Change<String>> update() {
    return ejection.update(List.of(PRIMARY, A, B), now);
  }

  /** Records ten statements within five seconds for each member, of which some fail. */
  private void run(Map<String, Integer> failures) {
    for (int i = 0; i < 10; i++) {
      now += Duration.ofMillis(500).toNanos();
      int statement = i;
      failures.forEach((member, count) -> ejection.onOutcome(member, statement < count, now));
    }
  }

  private void waitFor(Duration time) {
    now += time.toNanos();
  }

  @Test
  void should_eject_a_member_that_fails_more_than_the_others() {
    run(Map.of("primary", 0, "a", 4, "b", 0));

    assertThat(update()).containsExactly(new Change<>("a", true, OutlierEjection.FIRST_TIME));
    assertThat(ejection.isEjected("a")).isTrue();
  }

  // Statements with a defect fail everywhere; no member is the cause.
  @Test
  void should_not_eject_members_that_all_fail() {
    run(Map.of("primary", 4, "a", 4, "b", 4));

    assertThat(update()).isEmpty();
  }

  @Test
  void should_not_eject_for_a_single_failure() {
    ejection.onOutcome("a", true, now);

    assertThat(update()).isEmpty();
  }

  // Writes have nowhere else to go; a failing primary is replaced instead.
  @Test
  void should_not_eject_a_primary() {
    run(Map.of("primary", 10, "a", 0, "b", 0));

    assertThat(update()).isEmpty();
  }

  @Test
  void should_let_an_ejected_member_return_that_became_primary() {
    run(Map.of("primary", 0, "a", 4, "b", 0));
    update();

    assertThat(ejection.update(List.of(new Observed<>("a", true, false), B), now))
        .containsExactly(new Change<>("a", false, Duration.ZERO));
  }

  @Test
  void should_eject_a_third_of_the_members_at_most() {
    run(Map.of("primary", 0, "a", 5, "b", 5));
    assertThat(ejection.update(List.of(PRIMARY, A), now)).isEmpty();

    run(Map.of("primary", 0, "a", 5, "b", 5));
    assertThat(update()).hasSize(1);
  }

  // An ejection must never leave reads without any member.
  @Test
  void should_not_eject_the_last_usable_member() {
    run(Map.of("a", 5));
    Observed<String> lostPrimary = new Observed<>("primary", false, false);
    Observed<String> lostReplica = new Observed<>("b", false, true);

    assertThat(ejection.update(List.of(lostPrimary, A, lostReplica), now)).isEmpty();
  }

  private void tryOnce(boolean failed) {
    assertThat(ejection.isTrialDue("a", now)).isTrue();
    ejection.startTrial("a", now);
    assertThat(ejection.isTrialDue("a", now)).isFalse();
    ejection.onOutcome("a", failed, now);
    waitFor(Duration.ofMillis(300));
  }

  @Test
  void should_return_after_a_few_successful_trials() {
    run(Map.of("primary", 0, "a", 4, "b", 0));
    update();
    assertThat(ejection.isTrialDue("a", now)).isFalse();
    waitFor(OutlierEjection.FIRST_TIME);
    for (int i = 0; i < OutlierEjection.TRIALS; i++) {
      assertThat(ejection.isEjected("a")).isTrue();
      tryOnce(false);
    }

    assertThat(update()).containsExactly(new Change<>("a", false, Duration.ZERO));
  }

  // A member that fails for hours must not get trial reads every few seconds.
  @Test
  void should_eject_for_longer_each_time_up_to_a_maximum() {
    run(Map.of("primary", 0, "a", 4, "b", 0));
    update();
    Duration last = OutlierEjection.FIRST_TIME;
    for (int i = 0; i < 20; i++) {
      waitFor(last);
      tryOnce(true);
      Duration time = update().get(0).time();
      assertThat(time).isAtLeast(last);
      last = time;
    }
    assertThat(last).isEqualTo(OutlierEjection.MAX_TIME);
  }

  // A trial read whose caller leaves has no outcome.
  @Test
  void should_try_again_after_a_trial_without_outcome() {
    run(Map.of("primary", 0, "a", 4, "b", 0));
    update();
    waitFor(OutlierEjection.FIRST_TIME);
    ejection.startTrial("a", now);
    waitFor(Duration.ofSeconds(2));

    assertThat(ejection.isTrialDue("a", now)).isTrue();
  }
}
