package org.oleanderstep.standins.member.internal;

import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;

/** Row changes of the open transaction of one session, in the order in which they happened. */
final class ChangeBuffer {

  private final List<RowChange> changes = new ArrayList<>();
  private boolean writable;

  /** Decides whether the next statement may change rows. */
  void setWritable(boolean writable) {
    this.writable = writable;
  }

  void add(RowChange change) throws SQLException {
    if (!writable) {
      throw SqlStates.readOnly("the statement was taken for a read");
    }
    changes.add(change);
  }

  int size() {
    return changes.size();
  }

  boolean isEmpty() {
    return changes.isEmpty();
  }

  /** Drops the changes after the first {@code size}, which the database rolled back. */
  void truncate(int size) {
    changes.subList(size, changes.size()).clear();
  }

  List<RowChange> copy() {
    return List.copyOf(changes);
  }
}
