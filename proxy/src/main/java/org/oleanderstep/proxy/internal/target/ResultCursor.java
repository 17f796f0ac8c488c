package org.oleanderstep.proxy.internal.target;

import java.sql.Array;
import java.sql.Clob;
import java.sql.Date;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.sql.Statement;
import java.sql.Time;
import java.sql.Timestamp;
import java.sql.Types;
import java.util.ArrayList;
import java.util.Calendar;
import java.util.List;
import java.util.Locale;
import java.util.TimeZone;
import org.apache.calcite.avatica.AvaticaParameter;
import org.apache.calcite.avatica.ColumnMetaData;
import org.apache.calcite.avatica.Meta;
import org.apache.calcite.avatica.SqlType;

/**
 * Reads a JDBC result as Avatica frames and holds at most one frame in memory.
 *
 * <pre>{@code
 * ResultCursor cursor = ResultCursor.of(statement.executeQuery(sql), sql, 0);
 * Meta.Frame first = cursor.next(100);
 * }</pre>
 */
public final class ResultCursor {

  private static final long MILLIS_PER_DAY = 86_400_000L;
  // Characters and bytes in a frame. The limit keeps a few wide rows from filling the memory.
  private static final long MAX_FRAME_SIZE = 2L << 20;

  private final ResultSet rows;
  private final int[] types;
  private final Meta.Signature signature;
  private final long maxRows;
  private final Calendar calendar = Calendar.getInstance(TimeZone.getTimeZone("UTC"), Locale.ROOT);
  private long rowsRead;
  private boolean onRow;
  private boolean started;
  private long frameSize;

  private ResultCursor(ResultSet rows, Meta.Signature signature, int[] types, long maxRows) {
    this.rows = rows;
    this.signature = signature;
    this.types = types;
    this.maxRows = maxRows <= 0 ? Long.MAX_VALUE : maxRows;
  }

  /**
   * Starts to read a result.
   *
   * @param maxRows maximum number of rows to read, zero for all
   */
  public static ResultCursor of(ResultSet rows, String sql, long maxRows) throws SQLException {
    ResultSetMetaData meta = rows.getMetaData();
    return new ResultCursor(
        rows, signature(meta, sql, List.of(), Meta.StatementType.SELECT), types(meta), maxRows);
  }

  /** Returns the Avatica signature of a statement. */
  public static Meta.Signature signature(
      ResultSetMetaData meta,
      String sql,
      List<AvaticaParameter> parameters,
      Meta.StatementType type)
      throws SQLException {
    List<ColumnMetaData> columns = new ArrayList<>();
    if (meta != null) {
      for (int i = 1; i <= meta.getColumnCount(); i++) {
        columns.add(column(meta, i));
      }
    }
    return Meta.Signature.create(columns, sql, parameters, Meta.CursorFactory.LIST, type);
  }

  private static int[] types(ResultSetMetaData meta) throws SQLException {
    int[] types = new int[meta.getColumnCount()];
    for (int i = 0; i < types.length; i++) {
      types[i] = avaticaType(meta.getColumnType(i + 1));
    }
    return types;
  }

  /**
   * Returns the type in which Avatica transfers a column; types that it does not support are
   * transferred as text.
   */
  private static int avaticaType(int jdbcType) {
    return switch (jdbcType) {
      case Types.BIT,
          Types.BOOLEAN,
          Types.TINYINT,
          Types.SMALLINT,
          Types.INTEGER,
          Types.BIGINT,
          Types.REAL,
          Types.FLOAT,
          Types.DOUBLE,
          Types.DECIMAL,
          Types.NUMERIC,
          Types.CHAR,
          Types.VARCHAR,
          Types.LONGVARCHAR,
          Types.DATE,
          Types.TIME,
          Types.TIMESTAMP,
          Types.BINARY,
          Types.VARBINARY,
          Types.LONGVARBINARY ->
          jdbcType;
      case Types.BLOB -> Types.VARBINARY;
      default -> Types.VARCHAR;
    };
  }

  private static ColumnMetaData column(ResultSetMetaData meta, int i) throws SQLException {
    int type = avaticaType(meta.getColumnType(i));
    String typeName = type == meta.getColumnType(i) ? meta.getColumnTypeName(i) : "VARCHAR";
    ColumnMetaData.Rep rep = ColumnMetaData.Rep.of(SqlType.valueOf(type).internal);
    return new ColumnMetaData(
        i - 1,
        meta.isAutoIncrement(i),
        meta.isCaseSensitive(i),
        meta.isSearchable(i),
        meta.isCurrency(i),
        meta.isNullable(i),
        meta.isSigned(i),
        meta.getColumnDisplaySize(i),
        meta.getColumnLabel(i),
        meta.getColumnName(i),
        meta.getSchemaName(i),
        meta.getPrecision(i),
        meta.getScale(i),
        meta.getTableName(i),
        meta.getCatalogName(i),
        ColumnMetaData.scalar(type, typeName, rep),
        meta.isReadOnly(i),
        meta.isWritable(i),
        meta.isDefinitelyWritable(i),
        meta.getColumnClassName(i));
  }

  /** Returns the description of the result. */
  public Meta.Signature signature() {
    return signature;
  }

  /** Returns the number of rows read so far. */
  public long rowsRead() {
    return rowsRead;
  }

  /**
   * Returns the next frame of at most {@code frameRows} rows; its flag {@code done} marks the last
   * one.
   */
  public Meta.Frame nextFrame(int frameRows) throws SQLException {
    long first = rowsRead;
    if (!started) {
      started = true;
      onRow = rows.next();
    }
    List<Object> frame = new ArrayList<>(Math.min(frameRows, 128));
    frameSize = 0;
    while (onRow && frame.size() < frameRows && rowsRead < maxRows && frameSize < MAX_FRAME_SIZE) {
      frame.add(row());
      rowsRead++;
      onRow = rows.next();
    }
    boolean done = !onRow || rowsRead >= maxRows;
    return Meta.Frame.create(first, done, frame);
  }

  /** Returns all rows in one frame; only for results that are known to be small. */
  public Meta.Frame readAll() throws SQLException {
    List<Object> collected = new ArrayList<>();
    Meta.Frame frame = nextFrame(Integer.MAX_VALUE);
    frame.rows.forEach(collected::add);
    while (!frame.done) {
      frame = nextFrame(Integer.MAX_VALUE);
      frame.rows.forEach(collected::add);
    }
    return Meta.Frame.create(0, true, collected);
  }

  private Object[] row() throws SQLException {
    Object[] row = new Object[types.length];
    for (int i = 0; i < types.length; i++) {
      row[i] = value(i + 1, types[i]);
    }
    return row;
  }

  private Object value(int column, int type) throws SQLException {
    return switch (type) {
      case Types.BIT, Types.BOOLEAN -> orNull(rows.getBoolean(column));
      case Types.TINYINT -> orNull(rows.getByte(column));
      case Types.SMALLINT -> orNull(rows.getShort(column));
      case Types.INTEGER -> orNull(rows.getInt(column));
      case Types.BIGINT -> orNull(rows.getLong(column));
      case Types.REAL -> orNull(rows.getFloat(column));
      case Types.FLOAT, Types.DOUBLE -> orNull(rows.getDouble(column));
      case Types.DECIMAL, Types.NUMERIC -> rows.getBigDecimal(column);
      case Types.DATE -> days(rows.getDate(column, calendar));
      case Types.TIME -> millisOfDay(rows.getTime(column, calendar));
      case Types.TIMESTAMP -> millis(rows.getTimestamp(column, calendar));
      case Types.BINARY, Types.VARBINARY, Types.LONGVARBINARY -> bytes(rows.getBytes(column));
      default -> text(rows.getObject(column));
    };
  }

  private Object orNull(Object value) throws SQLException {
    return rows.wasNull() ? null : value;
  }

  private static Object days(Date date) {
    return date == null ? null : (int) Math.floorDiv(date.getTime(), MILLIS_PER_DAY);
  }

  private static Object millisOfDay(Time time) {
    return time == null ? null : (int) Math.floorMod(time.getTime(), MILLIS_PER_DAY);
  }

  private static Object millis(Timestamp timestamp) {
    return timestamp == null ? null : timestamp.getTime();
  }

  private Object bytes(byte[] value) {
    frameSize += value == null ? 0 : value.length;
    return value;
  }

  private Object text(Object value) throws SQLException {
    if (value == null) {
      return null;
    }
    String text = plainText(value);
    frameSize += text.length();
    return text;
  }

  private static String plainText(Object value) throws SQLException {
    if (value instanceof Clob clob) {
      return clob.getSubString(1, (int) Math.min(Integer.MAX_VALUE, clob.length()));
    }
    if (value instanceof Array array) {
      return String.valueOf(array);
    }
    return value.toString();
  }

  /** Closes the result, and its statement too if that serves no other result. */
  public void close(boolean withStatement) throws SQLException {
    Statement statement = rows.getStatement();
    rows.close();
    if (withStatement && statement != null) {
      statement.close();
    }
  }
}
