package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.List;

/**
 * The tokens that lenders will have for this VM.
 *
 * @param lenders the lenders that answer
 * @param granted the part of these tokens that other VMs leave, from 0 to 1
 */
record LenderForecast(List<Lender> lenders, double granted) {

  static final LenderForecast NONE = new LenderForecast(List.of(), 0);

  /** Time in which a lender is expected to answer; later tokens don't serve an operation. */
  private static final Duration EXCHANGE = Duration.ofMillis(8);

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * A lender.
   *
   * @param tokens tokens that it has now, without those that are requested
   * @param ratePerSecond tokens that it gets a second
   * @param pauseNanos time for which it is not asked
   */
  record Lender(double tokens, double ratePerSecond, long pauseNanos) {

    private double tokensWithin(long nanos) {
      double held = tokens + nanos / NANOS_PER_SECOND * ratePerSecond;
      return pauseNanos > nanos ? 0 : Math.max(0, Math.floor(held));
    }
  }

  LenderForecast {
    lenders = List.copyOf(lenders);
  }

  /** Returns how many tokens can arrive within a time. */
  int tokensWithin(Duration time) {
    long nanos = time.minus(EXCHANGE).toNanos();
    if (nanos < 0) {
      return 0;
    }
    double tokens = lenders.stream().mapToDouble(each -> each.tokensWithin(nanos)).sum();
    return (int) (tokens * granted);
  }
}
