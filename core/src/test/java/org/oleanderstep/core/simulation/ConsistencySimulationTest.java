package org.oleanderstep.core.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oleanderstep.core.simulation.HistoryChecker.Invariant;
import org.oleanderstep.core.simulation.HistoryChecker.Violation;

/**
 * Runs simulations with random faults, one for each seed, and checks their histories.
 *
 * <p>Use {@code -Doleanderstep.simulation.seeds=20000} to run more seeds, and {@code
 * -Doleanderstep.simulation.firstSeed} to choose the first one.
 */
class ConsistencySimulationTest {

  private static final int SEEDS = Integer.getInteger("oleanderstep.simulation.seeds", 250);
  private static final long FIRST_SEED = Long.getLong("oleanderstep.simulation.firstSeed", 1);
  private static final int SEEDS_FOR_DEFECTS = 400;

  // Guards the invariants H1 (read-your-writes), H2 (no write acknowledged by an old primary),
  // H9 ("not run" is true) and H10 (a request that must not be repeated runs at most once)
  // together.
  @Test
  void should_keep_all_invariants_under_random_faults() {
    Map<Class<?>, Integer> counts = new HashMap<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Cluster cluster = Cluster.runWithFaults(seed, Defect.NONE);
      assertWithMessage("violations of seed %s", seed).that(cluster.check()).isEmpty();
      cluster.history.events().forEach(event -> counts.merge(event.getClass(), 1, Integer::sum));
    }
    // Runs without failovers, served calls and calls that were not run would pass the check above.
    assertThat(counts.get(History.Promoted.class)).isAtLeast(2 * SEEDS);
    assertThat(counts.get(History.ReportedServed.class)).isAtLeast(100 * SEEDS);
    assertThat(counts.get(History.ReportedNotRun.class)).isAtLeast(SEEDS);
    System.out.println(SEEDS + " seeds from " + FIRST_SEED + ": " + counts);
  }

  // Guards against sources of randomness outside the seed: a failure could not be reproduced.
  @Test
  void should_produce_the_same_history_for_the_same_seed() {
    List<History.Event> first = Cluster.runWithFaults(7, Defect.NONE).history.events();
    List<History.Event> second = Cluster.runWithFaults(7, Defect.NONE).history.events();
    assertThat(second).isEqualTo(first);
  }

  // Guards against a checker or random faults too weak to detect that one of the protections is
  // missing.
  @ParameterizedTest
  @CsvSource({
    "PROMOTE_WITHOUT_MAJORITY, H2",
    "ACKNOWLEDGE_WITHOUT_REPLICA, H2",
    "ACCEPT_LOWER_TERM, H2",
    "ROUTE_BY_STALE_INCARNATION, H1",
    "RUN_UNKNOWN_SESSIONS_AT_ONCE, H1",
    "NOT_RUN_AFTER_SEND, H9",
    "DROP_REQUEST_ID, H10",
  })
  void should_reject_runs_of_a_model_with_a_defect(Defect defect, Invariant violated) {
    Optional<String> found = Optional.empty();
    for (long seed = 1; seed <= SEEDS_FOR_DEFECTS && found.isEmpty(); seed++) {
      long currentSeed = seed;
      found =
          Cluster.runWithFaults(seed, defect).check().stream()
              .filter(violation -> violation.invariant() == violated)
              .findFirst()
              .map(Violation::toString)
              .map(text -> defect + " seed " + currentSeed + ": " + text);
    }
    assertThat(found).isNotEqualTo(Optional.empty());
    System.out.println(found.get());
  }

  // Guards the rule that a primary acknowledges an entry of an earlier term only after a majority
  // has stored one of its own term: until then, the earlier entry can still be replaced although
  // a majority has stored it.
  @ParameterizedTest
  @CsvSource({"NONE, false", "NO_ENTRY_AT_START_OF_TERM, true"})
  void should_not_acknowledge_entries_of_earlier_terms_on_their_own(
      Defect defect, boolean expectViolation) {
    Cluster cluster = new Cluster(1, defect, 0, 0, 0);
    ModelMember a = cluster.members.get("member-a");
    ModelMember b = cluster.members.get("member-b");
    ModelMember c = cluster.members.get("member-c");
    promote(cluster, 1, a, c);
    write(cluster, a, "first");
    cluster.simulator.disconnect(a.name, b.name);
    cluster.simulator.disconnect(a.name, c.name);
    write(cluster, a, "only on a");
    cluster.simulator.disconnect(b.name, c.name);
    promote(cluster, 2, b, c);
    write(cluster, b, "only on b");
    cluster.simulator.heal(a.name, c.name);
    promote(cluster, 3, a, c);
    cluster.simulator.disconnect(a.name, c.name);
    cluster.simulator.heal(b.name, c.name);
    // Chooses the more advanced of b and c, as the failover controller does.
    ModelMember next = b.status().received().compareTo(c.status().received()) > 0 ? b : c;
    promote(cluster, 4, next, next == b ? c : b);
    cluster.simulator.healAll();
    write(cluster, next, "last");
    cluster.recordFinalLog();
    assertThat(cluster.check().stream().map(Violation::invariant).distinct().toList())
        .isEqualTo(expectViolation ? List.of(Invariant.H2) : List.of());
  }

  private static void promote(
      Cluster cluster, long term, ModelMember candidate, ModelMember other) {
    assertThat(candidate.fence(term, "test")).isTrue();
    assertThat(other.fence(term, "test")).isTrue();
    assertThat(candidate.promote(term, "test")).isTrue();
    cluster.simulator.runUntil(cluster.simulator.now() + Simulator.SECONDS);
  }

  private static void write(Cluster cluster, ModelMember member, String request) {
    member.write(request, request, true, false, reply -> {});
    cluster.simulator.runUntil(cluster.simulator.now() + Simulator.SECONDS);
  }
}
