package org.oleanderstep.standins.member.internal;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** The columns of a table and the statements that apply changes to it. */
final class TableShape {

  /**
   * A column.
   *
   * @param computed whether its value is always computed from other columns
   * @param updatable whether an update may set it
   */
  private record Column(String name, boolean computed, boolean updatable, boolean key) {}

  private final String qualifiedName;
  private final List<Column> columns;

  private TableShape(String qualifiedName, List<Column> columns) {
    this.qualifiedName = qualifiedName;
    this.columns = columns;
  }

  static TableShape read(Connection connection, String schema, String table) throws SQLException {
    List<String> keys = new ArrayList<>();
    try (ResultSet rows = connection.getMetaData().getPrimaryKeys(null, schema, table)) {
      while (rows.next()) {
        keys.add(rows.getString("COLUMN_NAME"));
      }
    }
    List<Column> columns = new ArrayList<>();
    try (PreparedStatement query =
        connection.prepareStatement(
            "SELECT COLUMN_NAME, IS_GENERATED, IDENTITY_GENERATION FROM INFORMATION_SCHEMA.COLUMNS"
                + " WHERE TABLE_SCHEMA = ? AND TABLE_NAME = ? ORDER BY ORDINAL_POSITION")) {
      query.setString(1, schema);
      query.setString(2, table);
      try (ResultSet rows = query.executeQuery()) {
        while (rows.next()) {
          String name = rows.getString(1);
          boolean computed = "ALWAYS".equals(rows.getString(2));
          boolean identity = "ALWAYS".equals(rows.getString(3));
          columns.add(new Column(name, computed, !computed && !identity, keys.contains(name)));
        }
      }
    }
    return new TableShape(quote(schema) + "." + quote(table), columns);
  }

  static String quote(String identifier) {
    return '"' + identifier.replace("\"", "\"\"") + '"';
  }

  String insertSql() {
    List<Column> set = columns.stream().filter(column -> !column.computed()).toList();
    String names = set.stream().map(c -> quote(c.name())).collect(Collectors.joining(","));
    String marks = set.stream().map(c -> "?").collect(Collectors.joining(","));
    return "INSERT INTO "
        + qualifiedName
        + " ("
        + names
        + ") OVERRIDING SYSTEM VALUE VALUES ("
        + marks
        + ")";
  }

  List<Object> insertValues(RowChange change) {
    List<Object> values = new ArrayList<>();
    for (int i = 0; i < columns.size(); i++) {
      if (!columns.get(i).computed()) {
        values.add(change.after().get(i));
      }
    }
    return values;
  }

  String updateSql() {
    String set =
        columns.stream()
            .filter(Column::updatable)
            .map(column -> quote(column.name()) + " = ?")
            .collect(Collectors.joining(", "));
    return "UPDATE " + qualifiedName + " SET " + set + keyCondition();
  }

  List<Object> updateValues(RowChange change) {
    List<Object> values = new ArrayList<>();
    for (int i = 0; i < columns.size(); i++) {
      if (columns.get(i).updatable()) {
        values.add(change.after().get(i));
      }
    }
    values.addAll(keyValues(change));
    return values;
  }

  String deleteSql() {
    return "DELETE FROM " + qualifiedName + keyCondition();
  }

  List<Object> keyValues(RowChange change) {
    List<Object> values = new ArrayList<>();
    for (int i = 0; i < columns.size(); i++) {
      if (columns.get(i).key()) {
        values.add(change.before().get(i));
      }
    }
    return values;
  }

  private String keyCondition() {
    return columns.stream()
        .filter(Column::key)
        .map(column -> quote(column.name()) + " = ?")
        .collect(Collectors.joining(" AND ", " WHERE ", ""));
  }
}
