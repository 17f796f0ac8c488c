package org.oleanderstep.core.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.simulation.History.Entry;
import org.oleanderstep.core.simulation.HistoryChecker.Invariant;
import org.oleanderstep.core.simulation.HistoryChecker.Violation;

/** Each test guards against a checker that accepts one kind of violation. */
class HistoryCheckerTest {

  private static final Entry FIRST = new Entry(new LogPosition(1, 1), "r1", "r1#0", false);
  private static final Entry REPEATED = new Entry(new LogPosition(1, 2), "r1", "r1#1", false);

  private final History history = new History();

  private List<Invariant> check(History.Event... events) {
    List.of(events).forEach(history::add);
    return HistoryChecker.check(history, 3).stream().map(Violation::invariant).distinct().toList();
  }

  private static History.RunEnded ended(Entry... log) {
    return new History.RunEnded(true, List.of(log));
  }

  @Test
  void should_accept_a_served_write_that_is_in_the_final_log() {
    assertThat(
            check(
                new History.Promised("b", 1),
                new History.Promoted("a", 1, List.of()),
                new History.Stored("b", 1, 1),
                new History.Acknowledged("a", 1, FIRST),
                new History.ReportedServed("s", "r1"),
                new History.Read("s", Set.of("r1"), Set.of("r1")),
                ended(FIRST)))
        .isEmpty();
  }

  @Test
  void should_reject_an_acknowledgement_that_rests_on_a_replica_of_a_higher_term() {
    assertThat(
            check(
                new History.Promised("b", 2),
                new History.Stored("b", 1, 1),
                new History.Acknowledged("a", 1, FIRST),
                ended(FIRST)))
        .containsExactly(Invariant.H2);
  }

  @Test
  void should_reject_an_acknowledgement_by_a_primary_that_promised_a_higher_term() {
    assertThat(
            check(
                new History.Stored("b", 1, 1),
                new History.Promised("a", 2),
                new History.Acknowledged("a", 1, FIRST),
                ended(FIRST)))
        .containsExactly(Invariant.H2);
  }

  @Test
  void should_reject_a_later_primary_without_an_acknowledged_entry() {
    assertThat(
            check(
                new History.Stored("b", 1, 1),
                new History.Acknowledged("a", 1, FIRST),
                new History.Promoted("c", 2, List.of()),
                ended(FIRST)))
        .containsExactly(Invariant.H2);
  }

  @Test
  void should_reject_two_primaries_of_one_term() {
    assertThat(
            check(
                new History.Promoted("a", 1, List.of()),
                new History.Promoted("b", 1, List.of()),
                ended()))
        .containsExactly(Invariant.H2);
  }

  @Test
  void should_reject_a_served_write_that_is_lost_at_the_end() {
    assertThat(check(new History.ReportedServed("s", "r1"), ended())).containsExactly(Invariant.H2);
  }

  @Test
  void should_reject_a_read_that_misses_an_own_write() {
    assertThat(check(new History.Read("s", Set.of("r1"), Set.of()), ended()))
        .containsExactly(Invariant.H1);
  }

  @Test
  void should_reject_not_run_for_a_call_that_ran() {
    assertThat(check(new History.ReportedNotRun("r1#0"), ended(FIRST)))
        .containsExactly(Invariant.H9);
  }

  @Test
  void should_reject_abandoned_for_a_request_of_which_any_call_ran() {
    assertThat(check(new History.ReportedAbandoned("r1"), ended(REPEATED)))
        .containsExactly(Invariant.H9);
  }

  @Test
  void should_reject_a_request_that_ran_twice() {
    assertThat(check(ended(FIRST, REPEATED))).containsExactly(Invariant.H10);
  }

  @Test
  void should_reject_a_run_that_ends_without_a_primary() {
    assertThat(check(new History.RunEnded(false, List.of()))).containsExactly(Invariant.RECOVERY);
  }
}
