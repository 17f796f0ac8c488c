package org.oleanderstep.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.scheduling.DrainPlan.Phase;

class DrainPlanTest {

  private static final long SECOND = 1_000_000_000L;
  private final DrainPlan plan = DrainPlan.start(5 * SECOND, Duration.ofSeconds(30));

  @Test
  void should_let_open_transactions_continue_within_the_drain_time() {
    Phase phase = plan.phase(34 * SECOND, 1, 0);
    assertThat(phase).isEqualTo(Phase.TRANSACTIONS_AND_IN_FLIGHT);
    assertThat(phase.allowsTransactionStatements()).isTrue();
  }

  @Test
  void should_stop_transactions_at_a_statement_boundary_after_the_drain_time() {
    Phase phase = plan.phase(35 * SECOND, 1, 0);
    assertThat(phase).isEqualTo(Phase.IN_FLIGHT_ONLY);
    assertThat(phase.allowsTransactionStatements()).isFalse();
  }

  // Guards H12: a planned shutdown interrupts no request, however long the request takes.
  @Test
  void should_not_close_while_a_request_is_in_flight() {
    assertThat(plan.phase(500 * SECOND, 0, 1).allowsClose()).isFalse();
  }

  @Test
  void should_allow_closing_at_once_when_nothing_is_in_progress() {
    assertThat(plan.phase(5 * SECOND, 0, 0).allowsClose()).isTrue();
  }
}
