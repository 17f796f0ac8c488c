package org.oleanderstep.standins.member.internal;

import java.sql.Blob;
import java.sql.Clob;
import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.h2.api.Trigger;

/**
 * Row trigger that adds each change to the buffer of the session that made it. H2 calls a trigger
 * on the thread that runs the statement, so the buffer is bound to the thread. H2 creates the
 * trigger by its class name, hence the public class and constructor.
 */
public final class ChangeCapture implements Trigger {

  private static final ThreadLocal<ChangeBuffer> BUFFER = new ThreadLocal<>();

  private String schema;
  private String table;

  /** Called by H2. */
  public ChangeCapture() {}

  /** Directs the changes that the current thread makes to a buffer; null ignores them. */
  static void bind(ChangeBuffer buffer) {
    if (buffer == null) {
      BUFFER.remove();
    } else {
      BUFFER.set(buffer);
    }
  }

  @Override
  public void init(
      Connection connection,
      String schemaName,
      String triggerName,
      String tableName,
      boolean before,
      int type) {
    schema = schemaName;
    table = tableName;
  }

  @Override
  public void fire(Connection connection, Object[] oldRow, Object[] newRow) throws SQLException {
    ChangeBuffer buffer = BUFFER.get();
    if (buffer != null) {
      buffer.add(new RowChange(schema, table, values(oldRow), values(newRow)));
    }
  }

  private static List<Object> values(Object[] row) throws SQLException {
    if (row == null) {
      return List.of();
    }
    List<Object> values = new ArrayList<>(row.length);
    for (Object value : row) {
      values.add(detach(value));
    }
    return Collections.unmodifiableList(values);
  }

  /** Reads large objects, which cannot be read after the transaction. */
  private static Object detach(Object value) throws SQLException {
    if (value instanceof Clob clob) {
      return clob.getSubString(1, Math.toIntExact(clob.length()));
    }
    if (value instanceof Blob blob) {
      return blob.getBytes(1, Math.toIntExact(blob.length()));
    }
    return value;
  }
}
