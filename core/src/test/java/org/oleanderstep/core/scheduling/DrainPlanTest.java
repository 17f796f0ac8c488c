package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.scheduling.DrainPlan.Rule;

class DrainPlanTest {

  private static final long SECOND = 1_000_000_000L;
  private final DrainPlan plan = DrainPlan.start(5 * SECOND, Duration.ofSeconds(30));

  @Test
  void should_let_open_transactions_run_within_the_drain_time() {
    Rule rule = plan.rule(34 * SECOND, 1, 0);
    assertThat(rule).isEqualTo(Rule.TRANSACTIONS_AND_IN_FLIGHT);
    assertThat(rule.allowsStatementOfTransaction()).isTrue();
  }

  @Test
  void should_stop_transactions_at_a_statement_boundary_after_the_drain_time() {
    Rule rule = plan.rule(35 * SECOND, 1, 0);
    assertThat(rule).isEqualTo(Rule.IN_FLIGHT_ONLY);
    assertThat(rule.allowsStatementOfTransaction()).isFalse();
  }

  // A planned shutdown interrupts no request, however long it takes (H12).
  @Test
  void should_not_close_while_a_request_is_in_flight() {
    assertThat(plan.rule(500 * SECOND, 0, 1).allowsClose()).isFalse();
  }

  @Test
  void should_close_at_once_when_nothing_is_left() {
    assertThat(plan.rule(5 * SECOND, 0, 0).allowsClose()).isTrue();
  }
}
