package org.oleanderstep.load.check;

import java.util.Map;

/**
 * What the primary of one database holds after the run.
 *
 * @param orders number of rows for each order id
 * @param notes text that is stored with each order id
 * @param counters value of each session's counter
 * @param total sum over all accounts
 */
public record FinalState(
    Map<String, Integer> orders,
    Map<String, String> notes,
    Map<String, Long> counters,
    long total) {

  /** Copies the maps. */
  public FinalState {
    orders = Map.copyOf(orders);
    notes = Map.copyOf(notes);
    counters = Map.copyOf(counters);
  }
}
