package org.oleanderstep.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks that a history of admissions stays within a rate and burst in every window.
 *
 * <p>A window that starts with admission i and ends with admission j holds j - i + 1 of them. They
 * must not exceed the burst in force at i plus the integral of the rate from i to j. All windows
 * are covered by one pass that keeps the tightest start.
 */
final class RateHistoryChecker {

  // Admissions are whole numbers; the tolerance only covers the rounding of the integral.
  private static final double TOLERANCE = 1e-6;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Rate and burst from a time on. */
  record Limit(long from, double ratePerSecond, double burst) {}

  /** A window with more admissions than its bound. */
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
        throw new IllegalArgumentException("the history must be in order of time");
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
