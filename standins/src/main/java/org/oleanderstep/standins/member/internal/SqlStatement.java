package org.oleanderstep.standins.member.internal;

import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;

/** A statement of a session with its current result; guarded by the session's lock. */
final class SqlStatement {

  private final int id;
  private SqlText text;
  private PreparedStatement prepared;
  private ResultSet rows;
  private long fetched;

  SqlStatement(int id) {
    this.id = id;
  }

  int id() {
    return id;
  }

  SqlText text() {
    return text;
  }

  PreparedStatement prepared() {
    return prepared;
  }

  void prepare(SqlText newText, PreparedStatement newPrepared) throws SQLException {
    close();
    text = newText;
    prepared = newPrepared;
  }

  /** Keeps the result for further fetches; null if the statement returned no rows. */
  void setRows(ResultSet newRows) {
    rows = newRows;
    fetched = 0;
  }

  ResultSet rows() {
    return rows;
  }

  /** Returns how many rows were fetched from the current result. */
  long fetched() {
    return fetched;
  }

  void addFetched(int count) {
    fetched += count;
  }

  void close() throws SQLException {
    rows = null;
    if (prepared != null) {
      prepared.close();
      prepared = null;
    }
  }
}
