package org.oleanderstep.gateway.control;

/**
 * The platform's bounds for what a cold member may get.
 *
 * @param overshoot factor on what a cold member takes well in one second
 * @param slack requests in one second that are allowed beyond that
 */
public record ColdBounds(double overshoot, double slack) {

  /** The bounds of a platform that names none. */
  public static final ColdBounds DEFAULT = new ColdBounds(1.5, 5);

  /**
   * Returns the requests that a cold member may get in one second from all VMs; 0 if there is no
   * bound.
   *
   * @param rate requests per second that the member takes well while it is cold; 0 if unbounded
   */
  public double requestsPerSecond(double rate) {
    return rate > 0 ? rate * overshoot + slack : 0;
  }
}
