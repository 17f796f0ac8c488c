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
import org.oleanderstep.core.simulation.HistoryChecker.Promise;
import org.oleanderstep.core.simulation.HistoryChecker.Violation;

/**
 * Runs seeded simulations with random faults.
 *
 * <p>{@code -Doleanderstep.simulation.seeds=20000} runs more of them, from {@code
 * -Doleanderstep.simulation.firstSeed} on.
 */
class ConsistencySimulationTest {

  private static final int SEEDS = Integer.getInteger("oleanderstep.simulation.seeds", 250);
  private static final long FIRST_SEED = Long.getLong("oleanderstep.simulation.firstSeed", 1);
  private static final int SEEDS_FOR_DEFECTS = 400;

  // Guards H1, H2, H9 and H10 as a whole: any wrong outcome in any run is a defect.
  @Test
  void should_keep_all_promises_under_random_faults() {
    Map<Class<?>, Integer> counts = new HashMap<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Cluster cluster = Cluster.runWithFaults(seed, Defect.NONE);
      assertWithMessage("violations of seed %s", seed).that(cluster.check()).isEmpty();
      cluster.history.events().forEach(event -> counts.merge(event.getClass(), 1, Integer::sum));
    }
    // Runs without failovers, resolved requests and served calls would prove nothing.
    assertThat(counts.get(History.Promoted.class)).isAtLeast(2 * SEEDS);
    assertThat(counts.get(History.ToldServed.class)).isAtLeast(100 * SEEDS);
    assertThat(counts.get(History.ToldNotRun.class)).isAtLeast(SEEDS);
    System.out.println(SEEDS + " seeds from " + FIRST_SEED + ": " + counts);
  }

  // Guards the search for a failed seed: a run that cannot be repeated cannot be examined.
  @Test
  void should_run_the_same_again_with_the_same_seed() {
    List<History.Event> first = Cluster.runWithFaults(7, Defect.NONE).history.events();
    List<History.Event> second = Cluster.runWithFaults(7, Defect.NONE).history.events();
    assertThat(second).isEqualTo(first);
  }

  // Guards the checker and the faults: each mechanism must be missed when it is taken away.
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
  void should_reject_runs_of_a_model_with_a_defect(Defect defect, Promise broken) {
    Optional<String> rejected = Optional.empty();
    for (long seed = 1; seed <= SEEDS_FOR_DEFECTS && rejected.isEmpty(); seed++) {
      long ofSeed = seed;
      rejected =
          Cluster.runWithFaults(seed, defect).check().stream()
              .filter(violation -> violation.promise() == broken)
              .findFirst()
              .map(Violation::toString)
              .map(text -> defect + " seed " + ofSeed + ": " + text);
    }
    assertThat(rejected).isNotEqualTo(Optional.empty());
    System.out.println(rejected.get());
  }

  // Guards the rule that a primary first gets an entry of its own term acknowledged: an entry of an
  // earlier term can still be replaced although a majority holds it.
  @ParameterizedTest
  @CsvSource({"NONE, false", "NO_ENTRY_AT_START_OF_TERM, true"})
  void should_not_acknowledge_entries_of_earlier_terms_on_their_own(
      Defect defect, boolean expectLoss) {
    Cluster cluster = new Cluster(1, defect, 0, 0, 0);
    ModelMember a = cluster.members.get("member-a");
    ModelMember b = cluster.members.get("member-b");
    ModelMember c = cluster.members.get("member-c");
    claim(cluster, 1, a, c);
    write(cluster, a, "first");
    cluster.simulator.cut(a.name, b.name);
    cluster.simulator.cut(a.name, c.name);
    write(cluster, a, "only on a");
    cluster.simulator.cut(b.name, c.name);
    claim(cluster, 2, b, c);
    write(cluster, b, "only on b");
    cluster.simulator.heal(a.name, c.name);
    claim(cluster, 3, a, c);
    cluster.simulator.cut(a.name, c.name);
    cluster.simulator.heal(b.name, c.name);
    // The candidate takes the most advanced of b and c, as a controller does.
    ModelMember next = b.status().received().compareTo(c.status().received()) > 0 ? b : c;
    claim(cluster, 4, next, next == b ? c : b);
    cluster.simulator.healAll();
    write(cluster, next, "last");
    cluster.end();
    assertThat(cluster.check().stream().map(Violation::promise).distinct().toList())
        .isEqualTo(expectLoss ? List.of(Promise.H2) : List.of());
  }

  private static void claim(Cluster cluster, long term, ModelMember chosen, ModelMember other) {
    assertThat(chosen.fence(term, "test")).isTrue();
    assertThat(other.fence(term, "test")).isTrue();
    assertThat(chosen.promote(term, "test")).isTrue();
    cluster.simulator.runUntil(cluster.simulator.now() + Simulator.SECONDS);
  }

  private static void write(Cluster cluster, ModelMember member, String request) {
    member.write(request, request, true, false, reply -> {});
    cluster.simulator.runUntil(cluster.simulator.now() + Simulator.SECONDS);
  }
}
