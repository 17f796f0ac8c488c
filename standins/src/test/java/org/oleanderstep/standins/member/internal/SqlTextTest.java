package org.oleanderstep.standins.member.internal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.sql.SQLException;
import org.junit.jupiter.api.Test;

class SqlTextTest {

  private static SqlText.Kind kind(String sql) throws SQLException {
    return SqlText.parse(sql).kind();
  }

  @Test
  void should_tell_reads_from_writes() throws SQLException {
    assertThat(kind("select 1")).isEqualTo(SqlText.Kind.READ);
    assertThat(kind(" (VALUES (1))")).isEqualTo(SqlText.Kind.READ);
    assertThat(kind("/* select */ insert into t values (1);")).isEqualTo(SqlText.Kind.CHANGE);
    assertThat(kind("SELECT * FROM t FOR  UPDATE")).isEqualTo(SqlText.Kind.CHANGE);
    assertThat(kind("create unique index i on t (a)")).isEqualTo(SqlText.Kind.DEFINITION);
  }

  // Guards against a refusal because of words inside a literal.
  @Test
  void should_ignore_words_in_literals_and_comments() throws SQLException {
    assertThat(kind("SELECT 'x; for update', \"FOR UPDATE\" -- ; for update"))
        .isEqualTo(SqlText.Kind.READ);
  }

  // Guards against a write hidden behind a read in one text.
  @Test
  void should_refuse_several_statements() {
    assertThrows(SQLException.class, () -> SqlText.parse("SELECT ''';'; DELETE FROM t"));
  }
}
