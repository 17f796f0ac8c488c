package org.oleanderstep.core.admission;

/**
 * The part of the requested tokens that lenders grant, as an exponentially weighted average.
 *
 * <p>Low while many VMs compete for the tokens of an organisation that is over its rate. Not
 * thread-safe.
 */
final class GrantRatio {

  private static final double WEIGHT = 0.1;

  /** Above this part, requests that are granted in part have other causes than competition. */
  private static final double COMPETITION_BELOW = 0.6;

  private double average = 1;

  void record(int requested, int granted) {
    if (requested > 0) {
      average += (Math.min(1.0, (double) granted / requested) - average) * WEIGHT;
    }
  }

  /**
   * Returns the part of expected tokens to rely on, from 0 to 1. Under competition it is the square
   * of the average: an operation that waits in vain costs more than one that is refused at once.
   */
  double value() {
    return average < COMPETITION_BELOW ? average * average : 1;
  }
}
