package org.oleanderstep.gateway.control;

/**
 * The ways of handling load that a deployment asks for in its settings. Each is off unless it is
 * asked for.
 *
 * @param fairQueue whether requests that wait for a connection are served fairly between
 *     organisations, and refused on arrival if they can't be served in time
 * @param measuredRanking whether reads are distributed by the measured latency of the members
 * @param outlierEjection whether members that fail many statements get no reads for a while
 * @param reserveForOthers whether the refused load of one organisation is kept from using up what
 *     the other organisations need to borrow tokens
 */
public record LoadPolicy(
    boolean fairQueue, boolean measuredRanking, boolean outlierEjection, boolean reserveForOthers) {

  /** Handles load without any of them. */
  public static final LoadPolicy NONE = new LoadPolicy(false, false, false, false);
}
