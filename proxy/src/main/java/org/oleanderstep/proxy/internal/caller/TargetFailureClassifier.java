package org.oleanderstep.proxy.internal.caller;

import java.sql.SQLException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.client.internal.NotSentException;
import org.oleanderstep.core.idempotency.RequestFailure;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.proxy.internal.target.TargetConnection;

/** Maps exceptions of a target's driver to {@link RequestFailure}s. */
final class TargetFailureClassifier {

  private static final Logger LOG = LogManager.getLogger(TargetFailureClassifier.class);
  private static final String READ_ONLY_MEMBER = "25006";
  private static final String NOT_SERVING = "57P03";
  private static final String TOO_MANY_CONNECTIONS = "53300";
  private static final String NOT_CONFIRMED = "08007";

  private TargetFailureClassifier() {}

  /**
   * Classifies an exception; marks the connection as broken if it cannot be used again.
   *
   * @param readOnly whether the caller set its connection to read-only
   */
  static RequestFailure classify(Exception e, TargetConnection connection, boolean readOnly) {
    if (isNotSent(e)) {
      connection.markBroken();
      return new RequestFailure.NotConnected("no connection to the member");
    }
    if (connection.isResponseLost()) {
      return new RequestFailure.ConnectionLost("the connection to the member was lost");
    }
    if (e instanceof SQLException sql) {
      return classifyDatabaseError(sql, readOnly);
    }
    connection.markBroken();
    LOG.error(
        "driver of member {} failed with unexpected {} at {}",
        connection.member(),
        e.getClass().getName(),
        ErrorResponses.origin(e));
    return new RequestFailure.ConnectionLost("the driver of the target failed");
  }

  private static RequestFailure classifyDatabaseError(SQLException e, boolean readOnly) {
    String state = ErrorResponses.sqlState(e);
    if (state.equals(NOT_SERVING) || (state.equals(READ_ONLY_MEMBER) && !readOnly)) {
      return new RequestFailure.RefusedByTarget(
          NotRunReason.NO_PRIMARY,
          "the member rejected the statement: " + ErrorResponses.message(e));
    }
    if (state.equals(TOO_MANY_CONNECTIONS)) {
      return new RequestFailure.RefusedByTarget(
          NotRunReason.NO_CAPACITY, "the member has reached its connection limit");
    }
    if (state.equals(NOT_CONFIRMED)) {
      return new RequestFailure.NotConfirmed("the member could not confirm the commit");
    }
    return new RequestFailure.DatabaseError(state, e.getErrorCode(), ErrorResponses.message(e));
  }

  private static boolean isNotSent(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof NotSentException) {
        return true;
      }
    }
    return false;
  }
}
