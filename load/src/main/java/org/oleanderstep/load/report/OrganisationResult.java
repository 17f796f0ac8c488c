package org.oleanderstep.load.report;

/**
 * How one organisation fared.
 *
 * @param served operations that were served
 * @param attempted operations that were sent
 * @param overRate operations refused as over the organisation's rate
 * @param insideRate whether its load stayed within its declared rate
 * @param p99Micros latency from the intended start
 */
public record OrganisationResult(
    String organisation,
    long served,
    long attempted,
    long overRate,
    boolean insideRate,
    long p50Micros,
    long p99Micros) {

  /** Returns the share of operations that were served. */
  public double servedShare() {
    return attempted == 0 ? 1 : (double) served / attempted;
  }
}
