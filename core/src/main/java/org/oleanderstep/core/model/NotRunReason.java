package org.oleanderstep.core.model;

/** Reason why a request was refused without being run, with the SQLSTATE sent to the caller. */
public enum NotRunReason {
  KEY_REFUSED("28000", "the key is missing, wrong or withdrawn"),
  NOT_ALLOWED("42501", "the organisation may not use this route"),
  NO_CAPACITY("53300", "no connection to the target became free in time"),
  OVER_RATE("53400", "the organisation is over its rate"),
  NO_PRIMARY("57P03", "the database currently has no primary"),
  NOT_READY("57P03", "the proxy has no trusted configuration"),
  STOPPING("57P01", "the proxy is stopping"),
  DEADLINE("57014", "the caller's time limit ended before the request was sent"),
  REQUEST_ID_REQUIRED("22023", "the route requires a request id"),
  BAD_REQUEST("22023", "the request is malformed or over a limit"),
  TRANSACTION_LOST("40001", "the transaction was rolled back with the proxy that held it");

  private final String sqlState;
  private final String description;

  NotRunReason(String sqlState, String description) {
    this.sqlState = sqlState;
    this.description = description;
  }

  /** Returns the five-character SQLSTATE. */
  public String sqlState() {
    return sqlState;
  }

  /** Returns the start of the error message. */
  public String description() {
    return description;
  }
}
