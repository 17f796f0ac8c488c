package org.oleanderstep.proxy.internal.caller;

import java.sql.SQLException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.client.internal.NotSentException;
import org.oleanderstep.core.idempotency.RequestFailure;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.proxy.internal.target.TargetConnection;

/** Tells what an exception of a target's driver means. */
final class TargetFailures {

  private static final Logger LOG = LogManager.getLogger(TargetFailures.class);
  private static final String READ_ONLY_MEMBER = "25006";
  private static final String NOT_SERVING = "57P03";
  private static final String NO_CONNECTION_LEFT = "53300";
  private static final String NOT_CONFIRMED = "08007";

  private TargetFailures() {}

  /**
   * Classifies an exception.
   *
   * @param readOnly whether the caller asked for a connection that only reads
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
      return ofDatabase(sql, readOnly);
    }
    connection.markBroken();
    LOG.error(
        "the driver of member {} failed with {} at {}",
        connection.member(),
        e.getClass().getName(),
        ErrorAnswers.origin(e));
    return new RequestFailure.ConnectionLost("the driver of the target failed");
  }

  private static RequestFailure ofDatabase(SQLException e, boolean readOnly) {
    String state = ErrorAnswers.sqlState(e);
    if (state.equals(NOT_SERVING) || (state.equals(READ_ONLY_MEMBER) && !readOnly)) {
      return new RequestFailure.RefusedByTarget(
          NotRunReason.NO_PRIMARY,
          "the member does not take the statement: " + ErrorAnswers.message(e));
    }
    if (state.equals(NO_CONNECTION_LEFT)) {
      return new RequestFailure.RefusedByTarget(
          NotRunReason.NO_CAPACITY, "the member has no connection left");
    }
    if (state.equals(NOT_CONFIRMED)) {
      return new RequestFailure.NotConfirmed("the member could not confirm the commit");
    }
    return new RequestFailure.DatabaseError(state, e.getErrorCode(), ErrorAnswers.message(e));
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
