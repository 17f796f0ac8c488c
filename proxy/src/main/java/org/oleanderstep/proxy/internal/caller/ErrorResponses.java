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

/** Converts failures to Avatica error responses, which callers' drivers throw as exceptions. */
final class ErrorResponses {

  private static final Logger LOG = LogManager.getLogger(ErrorResponses.class);
  private static final String INTERNAL_ERROR = "XX000";

  private ErrorResponses() {}

  /** Returns the outcome of a request that failed with an exception. */
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
    // The exception's message may contain parts of a statement, so only its origin is logged.
    LOG.error("call failed with unexpected {} at {}", cause.getClass().getName(), origin(cause));
    return new Outcome.Unknown("internal error of the proxy");
  }

  /** Returns the root cause's class and first stack frame, without its message. */
  static String origin(Throwable failure) {
    Throwable cause = failure;
    while (cause.getCause() != null) {
      cause = cause.getCause();
    }
    StackTraceElement[] frames = cause.getStackTrace();
    String location = frames.length == 0 ? "an unknown location" : frames[0].toString();
    return cause.getClass().getSimpleName() + " at " + location;
  }

  /** Returns the error response for an outcome other than {@link Outcome.Served}. */
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
    return error(
        INTERNAL_ERROR,
        -1,
        "internal error: error response requested for a served request",
        serverName);
  }

  private static Service.ErrorResponse error(
      String sqlState, int code, String message, String serverName) {
    // On code 1, drivers reopen the connection and lose its properties.
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
