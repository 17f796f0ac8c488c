package org.oleanderstep.core.simulation;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

class ConsistencySimulationTest {

  private static final int SEEDS = Integer.getInteger("oleanderstep.simulation.seeds", 300);
  private static final long FIRST_SEED = Long.getLong("oleanderstep.simulation.firstSeed", 1);

  @Test
  void should_keep_all_promises_under_random_faults() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Cluster cluster = Cluster.runWithFaults(seed, Defect.NONE);
      assertWithMessage("violations of seed %s", seed).that(cluster.check()).isEmpty();
    }
  }
}
