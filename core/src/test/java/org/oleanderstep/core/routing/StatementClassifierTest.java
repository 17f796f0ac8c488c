package org.oleanderstep.core.routing;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

class StatementClassifierTest {

  private static void assertKind(StatementKind kind, String... statements) {
    for (String sql : statements) {
      assertWithMessage(sql).that(StatementClassifier.classify(sql)).isEqualTo(kind);
    }
  }

  // Guards M1: these must be able to use replicas.
  @Test
  void should_take_queries_for_reads() {
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

  // Guards at-most-once: reads are repeated, so nothing that changes data may be taken for one.
  @Test
  void should_not_take_anything_that_may_change_data_for_a_read() {
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

  // Guards locks: a locking read that runs on a replica would lock nothing.
  @Test
  void should_take_locking_reads_for_writes() {
    assertKind(
        StatementKind.ROW_CHANGE,
        "select a from t for update",
        "select a from t for /* note */ update",
        "select a from t FOR NO KEY UPDATE",
        "select a from t\nfor share");
  }

  // Guards H9: a lost transaction is "not run" only if a rollback undoes each of its statements.
  @Test
  void should_tell_row_changes_from_statements_that_may_commit() {
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
