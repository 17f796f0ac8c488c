package org.oleanderstep.core.model;

/** Result of a request, as far as the proxy can tell. */
public sealed interface Outcome {

  /** SQLSTATE (transaction resolution unknown) of a request that may or may not have run. */
  String UNKNOWN_SQL_STATE = "08007";

  /** The request ran, and its result was received completely. */
  record Served() implements Outcome {}

  /** The database rejected the request and rolled it back. */
  record Failed(String sqlState, int vendorCode, String message) implements Outcome {}

  /** The request was not run and will not be run later. */
  record NotRun(NotRunReason reason, String detail) implements Outcome {}

  /** The request may or may not have run. */
  record Unknown(String detail) implements Outcome {}
}
