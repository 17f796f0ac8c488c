package org.oleanderstep.standins.member.internal;

import java.sql.SQLException;

/** SQLSTATE values that a member answers with, besides those of its database. */
final class SqlStates {

  static final String READ_ONLY = "25006";
  static final String FAILED_TRANSACTION = "25P02";
  static final String TOO_MANY_CONNECTIONS = "53300";
  static final String LIMIT_EXCEEDED = "54000";
  static final String CANNOT_CONNECT_NOW = "57P03";
  static final String NOT_SUPPORTED = "0A000";

  private SqlStates() {}

  static SQLException readOnly(String reason) {
    return new SQLException("writing statements are refused: " + reason, READ_ONLY);
  }

  static SQLException notServing(String reason) {
    return new SQLException(
        "the member does not serve this statement now: " + reason, CANNOT_CONNECT_NOW);
  }

  static SQLException notSupported(String what) {
    return new SQLException("the member does not support " + what, NOT_SUPPORTED);
  }
}
