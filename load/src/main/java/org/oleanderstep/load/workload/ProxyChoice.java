package org.oleanderstep.load.workload;

import java.util.List;
import java.util.random.RandomGenerator;

/** Draws the proxy of a new session by weight, as an uneven balancer does. */
final class ProxyChoice {

  private final double[] weights;
  private final double sum;

  ProxyChoice(List<Double> weights, int proxies) {
    this.weights = new double[proxies];
    double total = 0;
    for (int i = 0; i < proxies; i++) {
      this.weights[i] = weights.isEmpty() ? 1 : weights.get(i);
      total += this.weights[i];
    }
    this.sum = total;
  }

  int next(RandomGenerator random) {
    double drawn = random.nextDouble() * sum;
    int last = weights.length - 1;
    for (int i = 0; i < last; i++) {
      drawn -= weights[i];
      if (drawn < 0) {
        return i;
      }
    }
    return last;
  }
}
