package org.oleanderstep.proxy.internal.caller;

import java.sql.SQLException;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.proxy.internal.target.Lease;
import org.oleanderstep.proxy.internal.target.ResultCursor;

/** A statement of a caller, with its open result if there is one. */
final class CallerStatement {

  private static final Logger LOG = LogManager.getLogger(CallerStatement.class);

  private String sql;
  private volatile Cursor cursor;

  /**
   * A result that the caller has not read completely.
   *
   * @param lease connection that the result comes from
   * @param ownsLease whether closing the result also releases the connection
   * @param ownsStatement whether closing the result also closes the JDBC statement
   */
  record Cursor(ResultCursor rows, Lease lease, boolean ownsLease, boolean ownsStatement) {

    /** Closes the result. Blocks; call only on a worker thread. */
    void close() {
      try {
        rows.close(ownsStatement);
      } catch (SQLException | RuntimeException e) {
        lease.connection().markBroken();
        LOG.debug("failed to close a result of member {}", lease.connection().member());
      }
      if (ownsLease) {
        lease.release();
      }
    }
  }

  CallerStatement(String sql) {
    this.sql = sql;
  }

  /** Returns the SQL text of a prepared statement; empty for other statements. */
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

  /** Closes the open result, if any. Blocks; call only on a worker thread. */
  void closeCursor() {
    Cursor open = cursor;
    cursor = null;
    if (open != null) {
      open.close();
    }
  }
}
