package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.admission.RateHistoryChecker.Limit;

class RateHistoryCheckerTest {

  private static final long SECOND = 1_000_000_000L;
  private final RateHistoryChecker checker = new RateHistoryChecker(List.of(new Limit(0, 10, 3)));

  @Test
  void should_accept_a_burst_and_then_the_rate() {
    long[] history = {SECOND, SECOND, SECOND, SECOND + SECOND / 10, SECOND + SECOND / 5};
    assertThat(checker.check(history)).isEmpty();
  }

  // One admission too many at one instant is the smallest violation.
  @Test
  void should_reject_one_admission_above_the_burst() {
    assertThat(checker.check(new long[] {SECOND, SECOND, SECOND, SECOND})).isPresent();
  }

  // A checker that considers only the entire history would miss a window in its middle.
  @Test
  void should_reject_an_excess_within_a_history_below_the_rate() {
    long[] history = new long[104];
    for (int i = 0; i < 50; i++) {
      history[i] = i * SECOND;
      history[54 + i] = (60 + i) * SECOND;
    }
    Arrays.fill(history, 50, 54, 55 * SECOND);
    var excess = checker.check(history).orElseThrow();
    assertThat(excess.from()).isEqualTo(55 * SECOND);
    assertThat(excess.to()).isEqualTo(55 * SECOND);
    assertThat(excess.admitted()).isEqualTo(4);
  }

  // A rate that is slightly too high does not exceed the bound of any short window.
  @Test
  void should_reject_a_rate_that_is_one_percent_too_high() {
    long[] history = new long[2_000];
    for (int i = 0; i < history.length; i++) {
      history[i] = (long) (i / 10.1 * SECOND);
    }
    assertThat(checker.check(history)).isPresent();
  }

  @Test
  void should_apply_a_lower_limit_only_from_its_time() {
    RateHistoryChecker changing =
        new RateHistoryChecker(List.of(new Limit(0, 10, 3), new Limit(SECOND, 1, 1)));
    assertThat(changing.check(new long[] {SECOND - 1, SECOND - 1, SECOND - 1})).isEmpty();
    assertThat(changing.check(new long[] {SECOND, SECOND})).isPresent();
  }

  // Compares the single pass with the definition, applied to all windows.
  @Test
  void should_agree_with_a_scan_of_all_windows() {
    Random random = new Random(7);
    int rejected = 0;
    for (int run = 0; run < 2_000; run++) {
      long[] history = random.longs(9, 0, SECOND).sorted().toArray();
      boolean over = isOverInAnyWindow(history);
      assertThat(checker.check(history).isPresent()).isEqualTo(over);
      rejected += over ? 1 : 0;
    }
    assertThat(rejected).isGreaterThan(100);
    assertThat(rejected).isLessThan(1_900);
  }

  private static boolean isOverInAnyWindow(long[] history) {
    for (int i = 0; i < history.length; i++) {
      for (int j = i; j < history.length; j++) {
        if (j - i + 1 > 3 + 10.0 * (history[j] - history[i]) / SECOND + 1e-6) {
          return true;
        }
      }
    }
    return false;
  }
}
