package org.oleanderstep.load.report;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderstep.load.check.Violation;

class VerdictTest {

  private static final Violation LOST = new Violation("H2", "order-1", "is not stored");

  private static Verdict verdict(long served, long gapMillis, List<Violation> violations) {
    OrganisationResult organisation =
        new OrganisationResult("tableros-huaman", served, 10, 0, true, 900, 2_000);
    return new Verdict(
        "test",
        1,
        violations,
        Map.of("SERVED", served),
        new Verdict.ReadCounts(3, 1),
        Map.of("carrom-main/orders", gapMillis),
        List.of(organisation),
        new Verdict.PlatformCalls(5, 2));
  }

  @Test
  void should_pass_when_everything_held() {
    assertThat(verdict(10, 2_000, List.of()).passed()).isTrue();
  }

  // A run whose load never started once passed with no operation at all.
  @Test
  void should_fail_when_an_organisation_was_never_served() {
    assertThat(verdict(0, 2_000, List.of()).passed()).isFalse();
  }

  @Test
  void should_fail_when_a_failover_took_longer_than_its_bound() {
    assertThat(verdict(10, 8_001, List.of()).passed()).isFalse();
  }

  @Test
  void should_fail_on_a_violation_and_print_it() {
    Verdict verdict = verdict(10, 2_000, List.of(LOST));
    assertThat(verdict.passed()).isFalse();
    assertThat(verdict.toText()).contains("VIOLATED H2 order-1: is not stored");
  }

  @Test
  void should_print_the_share_of_replica_reads() {
    assertThat(verdict(10, 2_000, List.of()).toText()).contains("served by replicas: 75.0%");
  }
}
