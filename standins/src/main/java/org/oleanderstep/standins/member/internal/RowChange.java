package org.oleanderstep.standins.member.internal;

import java.util.List;

/**
 * A change of one row. Values are in the order of the table's columns.
 *
 * @param before the values before the change; empty for an insert
 * @param after the values after the change; empty for a delete
 */
record RowChange(String schema, String table, List<Object> before, List<Object> after) {

  boolean isInsert() {
    return before.isEmpty();
  }

  boolean isDelete() {
    return after.isEmpty();
  }
}
