package org.oleanderstep.standins.member.internal;

import java.sql.ParameterMetaData;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.sql.Types;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.OffsetDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.calcite.avatica.AvaticaParameter;
import org.apache.calcite.avatica.ColumnMetaData;
import org.apache.calcite.avatica.Meta;
import org.apache.calcite.avatica.SqlType;

/**
 * Turns results of JDBC into those of Avatica. Dates and times travel as their local value, as if
 * in UTC, which is how Avatica clients read them.
 */
final class ResultEncoder {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private ResultEncoder() {}

  static Meta.Signature signature(String sql, PreparedStatement statement) throws SQLException {
    if (statement == null) {
      return signature(sql, List.of(), List.of(), Meta.StatementType.OTHER_DDL);
    }
    ResultSetMetaData columns = statement.getMetaData();
    return columns == null
        ? signature(sql, List.of(), parameters(statement), Meta.StatementType.OTHER_DML)
        : signature(sql, columns(columns), parameters(statement), Meta.StatementType.SELECT);
  }

  static Meta.Signature signature(String sql, ResultSet rows) throws SQLException {
    return signature(sql, columns(rows.getMetaData()), List.of(), Meta.StatementType.SELECT);
  }

  private static Meta.Signature signature(
      String sql,
      List<ColumnMetaData> columns,
      List<AvaticaParameter> parameters,
      Meta.StatementType type) {
    return Meta.Signature.create(columns, sql, parameters, Meta.CursorFactory.LIST, type);
  }

  private static List<AvaticaParameter> parameters(PreparedStatement statement)
      throws SQLException {
    ParameterMetaData metaData = statement.getParameterMetaData();
    List<AvaticaParameter> parameters = new ArrayList<>();
    for (int i = 1; i <= metaData.getParameterCount(); i++) {
      parameters.add(
          new AvaticaParameter(
              metaData.isSigned(i),
              metaData.getPrecision(i),
              metaData.getScale(i),
              metaData.getParameterType(i),
              metaData.getParameterTypeName(i),
              metaData.getParameterClassName(i),
              "?" + i));
    }
    return parameters;
  }

  private static List<ColumnMetaData> columns(ResultSetMetaData metaData) throws SQLException {
    List<ColumnMetaData> columns = new ArrayList<>();
    for (int i = 1; i <= metaData.getColumnCount(); i++) {
      columns.add(column(metaData, i));
    }
    return columns;
  }

  private static ColumnMetaData column(ResultSetMetaData metaData, int i) throws SQLException {
    int type = wireType(metaData.getColumnType(i));
    ColumnMetaData.Rep rep = ColumnMetaData.Rep.of(SqlType.valueOf(type).internal);
    String typeName =
        type == metaData.getColumnType(i)
            ? metaData.getColumnTypeName(i)
            : SqlType.valueOf(type).name();
    return new ColumnMetaData(
        i - 1,
        metaData.isAutoIncrement(i),
        metaData.isCaseSensitive(i),
        metaData.isSearchable(i),
        metaData.isCurrency(i),
        metaData.isNullable(i),
        metaData.isSigned(i),
        metaData.getColumnDisplaySize(i),
        metaData.getColumnLabel(i),
        metaData.getColumnName(i),
        metaData.getSchemaName(i),
        metaData.getPrecision(i),
        metaData.getScale(i),
        metaData.getTableName(i),
        metaData.getCatalogName(i),
        ColumnMetaData.scalar(type, typeName, rep),
        metaData.isReadOnly(i),
        metaData.isWritable(i),
        metaData.isDefinitelyWritable(i),
        SqlType.valueOf(type).boxedClass().getName());
  }

  /** Returns the type under which values of a column travel. */
  private static int wireType(int type) {
    return switch (type) {
      case Types.BOOLEAN,
          Types.TINYINT,
          Types.SMALLINT,
          Types.INTEGER,
          Types.BIGINT,
          Types.REAL,
          Types.DOUBLE,
          Types.DECIMAL,
          Types.DATE,
          Types.TIME,
          Types.TIMESTAMP,
          Types.VARBINARY ->
          type;
      case Types.FLOAT -> Types.DOUBLE;
      case Types.NUMERIC -> Types.DECIMAL;
      case Types.TIMESTAMP_WITH_TIMEZONE -> Types.TIMESTAMP;
      case Types.BINARY, Types.LONGVARBINARY, Types.BLOB -> Types.VARBINARY;
      default -> Types.VARCHAR;
    };
  }

  /** Reads the next rows; a negative limit reads all. */
  static Meta.Frame frame(ResultSet rows, long offset, int limit) throws SQLException {
    ResultSetMetaData metaData = rows.getMetaData();
    int width = metaData.getColumnCount();
    List<Object> values = new ArrayList<>();
    while (limit < 0 || values.size() < limit) {
      if (!rows.next()) {
        return Meta.Frame.create(offset, true, values);
      }
      Object[] row = new Object[width];
      for (int i = 0; i < width; i++) {
        row[i] = value(rows, i + 1, wireType(metaData.getColumnType(i + 1)));
      }
      values.add(Arrays.asList(row));
    }
    return Meta.Frame.create(offset, false, values);
  }

  private static Object value(ResultSet rows, int i, int wireType) throws SQLException {
    return switch (wireType) {
      case Types.DATE -> date(rows.getObject(i, LocalDate.class));
      case Types.TIME -> time(rows.getObject(i, LocalTime.class));
      case Types.TIMESTAMP -> timestamp(rows, i);
      case Types.VARBINARY -> rows.getBytes(i);
      case Types.VARCHAR -> rows.getString(i);
      default -> rows.getObject(i);
    };
  }

  private static Integer date(LocalDate date) {
    return date == null ? null : Integer.valueOf(Math.toIntExact(date.toEpochDay()));
  }

  private static Integer time(LocalTime time) {
    return time == null
        ? null
        : Integer.valueOf(Math.toIntExact(time.toNanoOfDay() / NANOS_PER_MILLI));
  }

  private static Long timestamp(ResultSet rows, int i) throws SQLException {
    if (rows.getMetaData().getColumnType(i) == Types.TIMESTAMP_WITH_TIMEZONE) {
      OffsetDateTime time = rows.getObject(i, OffsetDateTime.class);
      return time == null ? null : Long.valueOf(localMillis(time.toInstant()));
    }
    LocalDateTime time = rows.getObject(i, LocalDateTime.class);
    return time == null ? null : Long.valueOf(time.toInstant(ZoneOffset.UTC).toEpochMilli());
  }

  private static long localMillis(Instant instant) {
    return instant
        .atZone(ZoneId.systemDefault())
        .toLocalDateTime()
        .toInstant(ZoneOffset.UTC)
        .toEpochMilli();
  }
}
