package org.oleanderstep.core.balancing;

import java.time.Duration;

/**
 * The mean of samples whose weight falls exponentially with their age.
 *
 * <p>The weight tells how much is known: it falls towards zero while there are no samples, so that
 * {@link #meanWith} returns to the assumption. Not thread-safe. Times are in nanoseconds of a
 * monotonic clock.
 */
public final class DecayingMean {

  private double timeConstantNanos;
  private final double maxWeight;
  private double sum;
  private double weight;
  private long updatedAt;

  /**
   * Creates a mean without samples.
   *
   * @param timeConstant the age at which the weight of a sample has fallen to 1/e
   * @param maxWeight the largest total weight; the newest sample counts at least its inverse
   */
  public DecayingMean(Duration timeConstant, double maxWeight, long now) {
    if (timeConstant.toNanos() <= 0 || maxWeight < 1) {
      throw new IllegalArgumentException(
          "the time constant must be positive and the maximum weight at least 1: "
              + timeConstant
              + ", "
              + maxWeight);
    }
    timeConstantNanos = timeConstant.toNanos();
    this.maxWeight = maxWeight;
    updatedAt = now;
  }

  /** Replaces the age at which the weight of a sample has fallen to 1/e, from now on. */
  public void updateTimeConstant(Duration timeConstant, long now) {
    decay(now);
    timeConstantNanos = timeConstant.toNanos();
  }

  /** Adds a sample of weight 1. */
  public void record(double value, long now) {
    decay(now);
    if (weight > maxWeight - 1) {
      scale((maxWeight - 1) / weight);
    }
    sum += value;
    weight++;
  }

  private void decay(long now) {
    long elapsed = now - updatedAt;
    if (elapsed > 0) {
      scale(Math.exp(-elapsed / timeConstantNanos));
      updatedAt = now;
    }
  }

  private void scale(double factor) {
    sum *= factor;
    weight *= factor;
  }

  /** Forgets all samples. */
  public void clear() {
    sum = 0;
    weight = 0;
  }

  /** Returns the total weight of the samples. */
  public double weight(long now) {
    decay(now);
    return weight;
  }

  /** Returns the weighted sum of the samples. */
  public double sum(long now) {
    decay(now);
    return sum;
  }

  /**
   * Returns the mean of the samples and an assumption.
   *
   * @param assumed the value without samples
   * @param assumedWeight the weight of the assumption, above zero
   */
  public double meanWith(double assumed, double assumedWeight, long now) {
    decay(now);
    return (sum + assumed * assumedWeight) / (weight + assumedWeight);
  }
}
