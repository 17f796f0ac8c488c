package org.oleanderstep.proxy.internal.caller;

import java.sql.SQLException;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.proxy.internal.target.Lease;
import org.oleanderstep.proxy.internal.target.ResultCursor;

/** A statement of a caller, with the result that it reads. */
final class CallerStatement {

  private static final Logger LOG = LogManager.getLogger(CallerStatement.class);

  private String sql;
  private volatile Cursor cursor;

  /**
   * A result that is not read to its end.
   *
   * @param lease connection that the result comes from
   * @param ownsLease whether the connection is given back with the result
   * @param ownsStatement whether the JDBC statement is closed with the result
   */
  record Cursor(ResultCursor rows, Lease lease, boolean ownsLease, boolean ownsStatement) {

    /** Closes the result; runs on a worker. */
    void close() {
      try {
        rows.close(ownsStatement);
      } catch (SQLException | RuntimeException e) {
        lease.connection().markBroken();
        LOG.debug("closing a result of member {} failed", lease.connection().member());
      }
      if (ownsLease) {
        lease.release();
      }
    }
  }

  CallerStatement(String sql) {
    this.sql = sql;
  }

  /** Returns the text of a prepared statement, empty for others. */
  String sql() {
    return sql;
  }

  void setSql(String text) {
    sql = text;
  }

  Optional<Cursor> cursor() {
    return Optional.ofNullable(cursor);
  }

  void setCursor(Cursor open) {
    cursor = open;
  }

  /** Closes the open result, if any; runs on a worker. */
  void closeCursor() {
    Cursor open = cursor;
    cursor = null;
    if (open != null) {
      open.close();
    }
  }
}
