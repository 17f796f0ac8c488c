package org.oleanderstep.gateway.load;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.oleanderstep.gateway.control.LoadPolicy;

/** Compares what callers get with and without the fair queue; prints the figures. */
class LoadSimulationTest {

  private static final int SEEDS = Integer.getInteger("oleanderstep.seeds", 1);
  private static final long FIRST_SEED = Long.getLong("oleanderstep.seed", 7);
  private static final LoadPolicy FAIR = new LoadPolicy(true, false, false, false);

  private enum Scenario {
    USUAL,
    HOT_ORGANISATION,
    TOLERANT_FLOOD,
    THREE_TIMES_THE_CAPACITY,
    RETURN_OF_ALL;

    private LoadSimulation.Load load() {
      return switch (this) {
        case USUAL -> new LoadSimulation.Load(1, 1, 1, false);
        case HOT_ORGANISATION -> new LoadSimulation.Load(1, 8, 1, false);
        case TOLERANT_FLOOD -> new LoadSimulation.Load(1, 1, 5, false);
        case THREE_TIMES_THE_CAPACITY -> new LoadSimulation.Load(7.5, 1, 1, false);
        case RETURN_OF_ALL -> new LoadSimulation.Load(1, 1, 1, true);
      };
    }
  }

  // Guards against an overload in which waiting serves nobody in time, one organisation takes the
  // members' time from the others, or a refusal is untrue.
  @ParameterizedTest
  @EnumSource(Scenario.class)
  void should_serve_more_in_time_than_without_the_fair_queue(Scenario scenario) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      LoadSimulation off = new LoadSimulation(LoadPolicy.NONE, scenario.load(), seed).run();
      LoadSimulation on = new LoadSimulation(FAIR, scenario.load(), seed).run();
      print(scenario, seed, "off", off);
      print(scenario, seed, "on", on);
      String where = scenario + ", seed " + seed;
      assertWithMessage(where).that(on.ranWhatWasRefused()).isFalse();
      assertWithMessage(where).that(on.onTime()).isAtLeast(off.onTime());
    }
  }

  private static void print(Scenario scenario, long seed, String flag, LoadSimulation run) {
    run.byClass.forEach(
        (each, result) ->
            System.out.printf(
                Locale.ROOT,
                "%-24s seed %d %-3s %-8s %s%n",
                scenario,
                seed,
                flag,
                each,
                result.describe()));
    System.out.printf(
        Locale.ROOT,
        "%-24s seed %d %-3s slowest of 20 organisations on time %.3f, connections opened %d%n",
        scenario,
        seed,
        flag,
        run.slowestOrganisation(),
        run.connectionsOpened());
  }
}
