package org.oleanderstep.load.check;

import java.util.List;
import org.oleanderstep.schema.v1.Operation;

/** A check of one invariant over the history of one database. */
@FunctionalInterface
public interface HistoryCheck {

  /**
   * Returns every violation found.
   *
   * @param operations operations of one database, in any order
   * @param state what the primary holds after the last operation ended
   */
  List<Violation> check(List<Operation> operations, FinalState state);
}
