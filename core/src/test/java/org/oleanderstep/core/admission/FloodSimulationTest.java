package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class FloodSimulationTest {

  private static final Duration TIME = Duration.ofSeconds(45);

  /** Operations of the others that may be refused inside their rates. */
  private static final double MAX_REFUSED = 0.01;

  private static FloodSimulation run(boolean reserveForOthers, long seed, boolean paused) {
    FloodSimulation simulation = new FloodSimulation(reserveForOthers, seed);
    if (paused) {
      simulation.pauseVms();
    }
    simulation.run(TIME);
    System.out.println(
        "reserveForOthers "
            + reserveForOthers
            + ", seed "
            + seed
            + ", paused "
            + paused
            + ": "
            + simulation);
    return simulation;
  }

  // The fault that the flag mends: without it, a test that passes would show nothing.
  @Test
  void should_show_refusals_inside_the_rate_without_the_flag() {
    FloodSimulation simulation = run(false, 1, false);

    assertThat(simulation.refusedInsideRateOfOthers())
        .isGreaterThan((int) (simulation.requestedByOthers * MAX_REFUSED));
    assertThat(simulation.overBound()).isEmpty();
  }

  // While tokens are on other VMs, an organisation inside its rate must not be refused.
  @Test
  void should_refuse_almost_nothing_inside_the_rate() {
    for (int seed = 1; seed <= 2; seed++) {
      FloodSimulation simulation = run(true, seed, false);

      assertWithMessage("seed %s: %s", seed, simulation)
          .that(simulation.refusedInsideRateOfOthers())
          .isAtMost((int) (simulation.requestedByOthers * MAX_REFUSED));
      assertWithMessage("seed %s", seed).that(simulation.overBound()).isEmpty();
    }
  }

  // A VM that is paused holds lent and borrowed tokens; they must not exist twice when it goes on.
  @Test
  void should_stay_within_the_bound_while_vms_are_paused() {
    FloodSimulation simulation = run(true, 3, true);

    assertThat(simulation.overBound()).isEmpty();
    assertThat(simulation.admitted(FloodSimulation.FLOODER)).isGreaterThan(0);
  }
}
