package org.oleanderstep.standins.member;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.SQLException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** SQL through the stock Avatica driver. */
class MemberSqlTest {

  @TempDir Path directory;

  // Guards against row changes that reach the primary only.
  @Test
  void should_replicate_inserted_updated_and_deleted_rows() throws SQLException {
    try (GroupFixture group = new GroupFixture(directory).start()) {
      group.execute("a", "CREATE TABLE t (id INT PRIMARY KEY, v VARCHAR(20))");
      group.execute("a", "INSERT INTO t VALUES (1, 'one'), (2, 'two'), (3, 'three')");
      group.execute("a", "UPDATE t SET v = 'zwei' WHERE id = 2");
      group.execute("a", "DELETE FROM t WHERE id = 3");
      group.awaitApplied("b", "a");
      try (Connection connection = group.connect("b");
          var statement = connection.createStatement();
          var rows = statement.executeQuery("SELECT id, v FROM t ORDER BY id")) {
        assertThat(rows.next()).isTrue();
        assertThat(rows.getString(2)).isEqualTo("one");
        assertThat(rows.next()).isTrue();
        assertThat(rows.getString(2)).isEqualTo("zwei");
        assertThat(rows.next()).isFalse();
      }
    }
  }
}
