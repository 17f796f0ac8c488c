package org.oleanderstep.core.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.oleanderstep.core.membership.GossipSimulation.Mutant;

/**
 * Guards H6 (a withdrawn key is refused within 5 s) and H13 (a configuration propagates to all
 * processes and never reverts).
 *
 * <p>Run many seeds with {@code -Doleanderstep.seeds=5000 -Dtest=GossipSimulationTest}.
 */
class GossipSimulationTest {

  private static final int SECONDS = 90;
  private static final int SEEDS = Integer.getInteger("oleanderstep.seeds", 15);

  @Test
  void should_propagate_configurations_without_reversal_and_refuse_withdrawn_keys() {
    long accepted = 0;
    long served = 0;
    long connected = 0;
    long untrusted = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      GossipSimulation run = new GossipSimulation(seed, Mutant.NONE).run(SECONDS);
      assertWithMessage("seed " + seed).that(run.history().firstViolation()).isEmpty();
      accepted += run.history().acceptedCalls();
      served += run.history().servedCalls();
      connected += run.history().connectedObservations();
      untrusted += run.refusedUntrusted();
    }
    System.out.printf(
        "%d runs: %d calls accepted, %d served to the session, %d observations of the spread, %d"
            + " refused without trust%n",
        SEEDS, accepted, served, connected, untrusted);
    // Otherwise a run that refuses all calls, or never observes propagation, would pass.
    assertThat(accepted).isGreaterThan(SEEDS * 1_000L);
    assertThat(served).isGreaterThan(SEEDS * 1_000L);
    assertThat(connected).isGreaterThan(SEEDS * 500L);
    assertThat(untrusted).isGreaterThan(0);
  }

  // Proves that the checks can fail: each mutant disables one mechanism and must be rejected.
  @ParameterizedTest
  @EnumSource(value = Mutant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void should_reject_runs_of_faulty_proxies(Mutant mutant) {
    Optional<String> found = Optional.empty();
    int seed = -1;
    while (seed < 60 && found.isEmpty()) {
      seed++;
      found = new GossipSimulation(seed, mutant).run(SECONDS).history().firstViolation();
    }
    assertWithMessage("a run with " + mutant).that(found).isPresent();
    System.out.println("rejected: " + mutant + ", seed " + seed + ": " + found.get());
  }

  @Test
  void should_give_the_same_run_for_the_same_seed() {
    GossipSimulation first = new GossipSimulation(3, Mutant.NONE).run(SECONDS);
    GossipSimulation second = new GossipSimulation(3, Mutant.NONE).run(SECONDS);
    assertThat(first.history().acceptedCalls()).isEqualTo(second.history().acceptedCalls());
    assertThat(first.refusedUntrusted()).isEqualTo(second.refusedUntrusted());
    assertThat(first.publishedGeneration()).isEqualTo(second.publishedGeneration());
  }
}
