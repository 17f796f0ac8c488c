package org.oleanderstep.load.workload;

import java.sql.SQLException;
import java.util.Set;
import org.oleanderstep.schema.v1.Operation;

/** Tells from an SQL error what became of a statement. */
final class SqlResults {

  private static final String UNKNOWN_OUTCOME = "08007";

  // Refusals of the proxy that promise that nothing was run; see NotRunReason and the client.
  private static final Set<String> NOT_RUN =
      Set.of(
          "28000", "42501", "53300", "53400", "57P03", "57P01", "57014", "22023", "08001", "08004");

  private SqlResults() {}

  /** Returns the result of a statement that ended with the given error. */
  static Operation.Result of(SQLException error) {
    String state = error.getSQLState();
    if (state == null
        || state.isBlank()
        || state.equals(UNKNOWN_OUTCOME)
        || state.equals("00000")) {
      return Operation.Result.UNKNOWN;
    }
    return NOT_RUN.contains(state) ? Operation.Result.NOT_RUN : Operation.Result.FAILED;
  }
}
