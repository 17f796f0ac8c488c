package org.oleanderstep.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks that a history of admissions stays within rate and burst in every window.
 *
 * <p>A window from admission i to admission j contains j - i + 1 admissions. They must not exceed
 * the burst that applies at i plus the integral of the rate from i to j. A single pass covers all
 * windows, as it keeps the start that gives the tightest bound.
 */
final class RateHistoryChecker {

  // Covers only the rounding of the integral; admissions are whole numbers.
  private static final double TOLERANCE = 1e-6;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Rate and burst that apply from a time on. */
  record Limit(long from, double ratePerSecond, double burst) {}

  /** A window with more admissions than its bound allows. */
  record Excess(long from, long to, long admitted, double bound) {}

  private final List<Limit> limits;

  /** Creates a checker; the first limit must start no later than the history. */
  RateHistoryChecker(List<Limit> limits) {
    this.limits = new ArrayList<>(limits);
  }

  /** Returns the window with the largest excess, if there is any. */
  Optional<Excess> check(long[] admissions) {
    double tightest = Double.POSITIVE_INFINITY;
    int start = 0;
    double worst = TOLERANCE;
    Optional<Excess> excess = Optional.empty();
    for (int j = 0; j < admissions.length; j++) {
      if (j > 0 && admissions[j] < admissions[j - 1]) {
        throw new IllegalArgumentException("the admissions must be in the order of their times");
      }
      double accrued = accrued(admissions[j]);
      double slack = burst(admissions[j]) + j - accrued;
      if (slack < tightest) {
        tightest = slack;
        start = j;
      }
      double over = j + 1 - accrued - tightest;
      if (over > worst) {
        worst = over;
        long admitted = j - start + 1L;
        excess =
            Optional.of(new Excess(admissions[start], admissions[j], admitted, admitted - over));
      }
    }
    return excess;
  }

  private double burst(long time) {
    double burst = limits.get(0).burst();
    for (Limit limit : limits) {
      if (limit.from() <= time) {
        burst = limit.burst();
      }
    }
    return burst;
  }

  private double accrued(long time) {
    double sum = 0;
    for (int i = 0; i < limits.size(); i++) {
      Limit limit = limits.get(i);
      long end = i + 1 < limits.size() ? Math.min(time, limits.get(i + 1).from()) : time;
      sum += Math.max(0, end - limit.from()) / NANOS_PER_SECOND * limit.ratePerSecond();
    }
    return sum;
  }
}
