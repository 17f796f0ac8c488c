package org.oleanderstep.core.model;

/** What became of a request. */
public sealed interface Outcome {

  /** SQLSTATE of a request that may or may not have run. */
  String UNKNOWN_SQL_STATE = "08007";

  /** The request ran and its answer is complete. */
  record Served() implements Outcome {}

  /** The database refused the request and rolled it back. */
  record Failed(String sqlState, int vendorCode, String message) implements Outcome {}

  /** The request was not run and never will be. */
  record NotRun(NotRunReason reason, String detail) implements Outcome {}

  /** The request may or may not have run. */
  record Unknown(String detail) implements Outcome {}
}
