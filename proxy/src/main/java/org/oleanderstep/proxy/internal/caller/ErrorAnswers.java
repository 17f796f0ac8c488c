package org.oleanderstep.proxy.internal.caller;

import java.sql.SQLException;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.apache.calcite.avatica.AvaticaSeverity;
import org.apache.calcite.avatica.remote.Service;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.proxy.internal.target.OutcomeException;

/** Turns failures into the error answers that callers' drivers understand. */
final class ErrorAnswers {

  private static final Logger LOG = LogManager.getLogger(ErrorAnswers.class);
  private static final String INTERNAL_ERROR = "XX000";

  private ErrorAnswers() {}

  /** Returns what became of a request that failed with an exception. */
  static Outcome outcomeOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof OutcomeException known) {
      return known.outcome();
    }
    if (cause instanceof SQLException sql) {
      return new Outcome.Failed(sqlState(sql), sql.getErrorCode(), message(sql));
    }
    // The exception's message may hold parts of a statement, so only its place is logged.
    LOG.error("a call failed with {} at {}", cause.getClass().getName(), origin(cause));
    return new Outcome.Unknown("the proxy met an internal error");
  }

  /** Returns where an exception comes from, without its message. */
  static String origin(Throwable failure) {
    Throwable cause = failure;
    while (cause.getCause() != null) {
      cause = cause.getCause();
    }
    StackTraceElement[] frames = cause.getStackTrace();
    String place = frames.length == 0 ? "an unknown place" : frames[0].toString();
    return cause.getClass().getSimpleName() + " at " + place;
  }

  /** Returns the answer for an outcome other than served. */
  static Service.ErrorResponse of(Outcome outcome, String serverName) {
    if (outcome instanceof Outcome.Failed failed) {
      return error(failed.sqlState(), failed.vendorCode(), failed.message(), serverName);
    }
    if (outcome instanceof Outcome.NotRun notRun) {
      String text = "not run: " + notRun.reason().description() + "; " + notRun.detail();
      return error(notRun.reason().sqlState(), -1, text, serverName);
    }
    if (outcome instanceof Outcome.Unknown unknown) {
      String text = "the outcome is unknown: " + unknown.detail();
      return error(Outcome.UNKNOWN_SQL_STATE, -1, text, serverName);
    }
    return error(INTERNAL_ERROR, -1, "a served request has no error", serverName);
  }

  private static Service.ErrorResponse error(
      String sqlState, int code, String message, String serverName) {
    // Code 1 would make drivers open the connection again without its settings.
    int safeCode = code == Service.ErrorResponse.MISSING_CONNECTION_ERROR_CODE ? -1 : code;
    return new Service.ErrorResponse(
        List.of(),
        message,
        safeCode,
        sqlState,
        AvaticaSeverity.ERROR,
        new Service.RpcMetadataResponse(serverName));
  }

  static String sqlState(SQLException e) {
    return e.getSQLState() == null ? "" : e.getSQLState();
  }

  static String message(SQLException e) {
    return e.getMessage() == null ? "the database gave no message" : e.getMessage();
  }
}
