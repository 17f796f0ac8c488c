package org.oleanderstep.core.routing;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

class StatementClassifierTest {

  private static void assertKind(StatementKind kind, String... statements) {
    for (String sql : statements) {
      assertWithMessage(sql).that(StatementClassifier.classify(sql)).isEqualTo(kind);
    }
  }

  // A query that is not recognized as a read would never use a replica (M1).
  @Test
  void should_classify_queries_as_reads() {
    assertKind(
        StatementKind.READ,
        "select 1",
        "  -- note\n SELECT a FROM t;",
        "-- note\r\nSELECT 1",
        "/* note */ (select 1) union (select 2) ; ",
        "VALUES (1)",
        "show tables",
        "EXPLAIN SELECT 1",
        "select substring(a from 1 for 2) from t");
  }

  // Reads are retried after a lost connection, so a write that passes for a read could run twice.
  @Test
  void should_not_classify_a_statement_that_may_change_data_as_a_read() {
    assertKind(
        StatementKind.OTHER,
        "",
        "select 1; delete from t",
        "select 1; -- note\n delete from t",
        "select a into b from t",
        "explain analyze delete from t",
        "/* /* */ select 1 */ delete from t",
        "-- note\rselect 1\ndelete from t",
        "/*! delete */ select 1",
        "selective",
        "call f()");
  }

  // A locking read on a replica would not lock the rows on the primary.
  @Test
  void should_classify_locking_reads_as_row_changes() {
    assertKind(
        StatementKind.ROW_CHANGE,
        "select a from t for update",
        "select a from t for /* note */ update",
        "select a from t FOR NO KEY UPDATE",
        "select a from t\nfor share");
  }

  // A lost transaction is reported as "not run" only if a rollback undoes all its statements (H9).
  @Test
  void should_distinguish_row_changes_from_statements_that_may_commit() {
    assertKind(
        StatementKind.ROW_CHANGE,
        "insert into t values (1)",
        "/* note */ update t set a = 1",
        "with x as (select 1) select * from x");
    assertKind(
        StatementKind.OTHER,
        "create table t (a int)",
        "insert into t values (1); create table u (a int)",
        "commit");
  }
}
