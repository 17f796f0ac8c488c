package org.oleanderstep.core.admission;

import org.oleanderstep.core.model.OrganisationId;

/**
 * Operations of one organisation on one VM, or summed over VMs, in one second.
 *
 * <pre>{@code
 * long inside = onOneVm.plus(onAnother).refusedWithin(limit.ratePerSecond());
 * }</pre>
 *
 * <p>An operation counts as requested in the second of its arrival, and as admitted or refused in
 * the second of the decision.
 *
 * @param second the wall-clock second, counted from the Unix epoch, so that the windows of several
 *     VMs can be summed
 */
public record RateWindow(
    OrganisationId organisation, long second, int requested, int admitted, int refused) {

  /** Checks that no count is negative. */
  public RateWindow {
    if (requested < 0 || admitted < 0 || refused < 0) {
      throw new IllegalArgumentException(
          "counts must not be negative: " + requested + ", " + admitted + ", " + refused);
    }
  }

  /**
   * Returns the sum of this window and that of another VM.
   *
   * @throws IllegalArgumentException if the other window is of another organisation or second
   */
  public RateWindow plus(RateWindow other) {
    if (!organisation.equals(other.organisation) || second != other.second) {
      throw new IllegalArgumentException("windows differ: " + this + ", " + other);
    }
    return new RateWindow(
        organisation,
        second,
        requested + other.requested,
        admitted + other.admitted,
        refused + other.refused);
  }

  /**
   * Returns how many of the refused operations a rate would have admitted. Meaningful for the sum
   * over all VMs.
   */
  public int refusedWithin(double ratePerSecond) {
    return (int) Math.max(0, Math.min(refused, Math.floor(ratePerSecond) - admitted));
  }
}
