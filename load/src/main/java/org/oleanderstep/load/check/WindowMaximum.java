package org.oleanderstep.load.check;

import java.util.Arrays;

/** A segment tree over the starts of windows, with addition to a prefix and the maximum of all. */
final class WindowMaximum {

  private final long[] starts;
  private final double[] largest;
  private final double[] pending;

  /**
   * Creates the tree with the value {@code ratePerNano * start} for each start.
   *
   * @param starts ascending, without repetition, not empty
   */
  WindowMaximum(long[] starts, double ratePerNano) {
    this.starts = starts;
    largest = new double[4 * starts.length];
    pending = new double[4 * starts.length];
    build(1, 0, starts.length - 1, ratePerNano);
  }

  private void build(int node, int from, int to, double ratePerNano) {
    if (from == to) {
      largest[node] = ratePerNano * starts[from];
      return;
    }
    int middle = (from + to) >>> 1;
    build(2 * node, from, middle, ratePerNano);
    build(2 * node + 1, middle + 1, to, ratePerNano);
    largest[node] = Math.max(largest[2 * node], largest[2 * node + 1]);
  }

  /** Adds to all windows that start at or before the given time. */
  void add(long startNs, int count) {
    int last = Arrays.binarySearch(starts, startNs);
    add(1, 0, starts.length - 1, last, count);
  }

  private void add(int node, int from, int to, int last, int count) {
    if (from > last) {
      return;
    }
    if (to <= last) {
      largest[node] += count;
      pending[node] += count;
      return;
    }
    int middle = (from + to) >>> 1;
    add(2 * node, from, middle, last, count);
    add(2 * node + 1, middle + 1, to, last, count);
    largest[node] = Math.max(largest[2 * node], largest[2 * node + 1]) + pending[node];
  }

  /** Returns the largest value of the windows that start at or before the given time. */
  double maximum(long untilNs) {
    int found = Arrays.binarySearch(starts, untilNs);
    int last = found >= 0 ? found : -found - 2;
    return maximum(1, 0, starts.length - 1, last);
  }

  private double maximum(int node, int from, int to, int last) {
    if (from > last) {
      return Double.NEGATIVE_INFINITY;
    }
    if (to <= last) {
      return largest[node];
    }
    int middle = (from + to) >>> 1;
    double left = maximum(2 * node, from, middle, last);
    double right = maximum(2 * node + 1, middle + 1, to, last);
    return Math.max(left, right) + pending[node];
  }
}
