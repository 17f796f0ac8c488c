package org.oleanderstep.load.workload;

import java.sql.SQLException;
import java.util.Set;
import org.apache.calcite.avatica.AvaticaClientRuntimeException;
import org.oleanderstep.schema.v1.Operation;

/** Tells from an SQL error what became of a statement. */
final class SqlResults {

  private static final String UNKNOWN_OUTCOME = "08007";

  // Refusals of the proxy that promise that nothing was run; see NotRunReason and the client.
  private static final Set<String> NOT_RUN =
      Set.of(
          "28000", "42501", "53300", "53400", "57P03", "57P01", "57014", "22023", "08001", "08004");

  private SqlResults() {}

  /** Fills in what became of an operation that ended with the given error of the driver. */
  static void describe(Exception error, Operation.Builder operation) {
    String state = stateOf(error);
    operation.setResult(of(state));
    operation.setSqlState(state);
    operation.setDetail(messages(error));
  }

  // The driver puts the text of the proxy into a cause.
  private static String messages(Exception error) {
    StringBuilder text = new StringBuilder(String.valueOf(error.getMessage()));
    for (Throwable cause = error.getCause(); cause != null; cause = cause.getCause()) {
      text.append("; ").append(cause.getMessage());
    }
    return text.toString();
  }

  // The driver reports errors of commit, roll-back and of opening a connection without wrapping
  // them into an SQLException.
  private static String stateOf(Exception error) {
    if (error instanceof AvaticaClientRuntimeException avatica) {
      return avatica.getSqlState() == null ? "" : avatica.getSqlState();
    }
    if (error instanceof SQLException sql && sql.getSQLState() != null) {
      return sql.getSQLState();
    }
    return "";
  }

  private static Operation.Result of(String state) {
    if (state.isBlank() || state.equals(UNKNOWN_OUTCOME) || state.equals("00000")) {
      return Operation.Result.UNKNOWN;
    }
    return NOT_RUN.contains(state) ? Operation.Result.NOT_RUN : Operation.Result.FAILED;
  }
}
