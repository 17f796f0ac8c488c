package org.oleanderstep.standins.member;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.schema.v1.Role;

/** The initial primary as a process that is killed or frozen. */
class MemberProcessTest {

  private static final int WRITES_BEFORE_KILL = 50;

  @TempDir Path directory;
  private GroupFixture group;
  private Process primary;

  @BeforeEach
  void startGroup() throws Exception {
    group = new GroupFixture(directory);
    group.start("b");
    group.start("c");
    primary = group.startProcess("a");
    group.awaitInitialPrimary();
    group.execute("a", "CREATE TABLE t (id INT PRIMARY KEY, v VARCHAR(20))");
  }

  @AfterEach
  void stopGroup() {
    if (group != null) {
      group.close();
    }
  }

  private void signal(String name) throws IOException, InterruptedException {
    int exit =
        new ProcessBuilder("kill", "-" + name, Long.toString(primary.pid())).start().waitFor();
    assertThat(exit).isEqualTo(0);
  }

  // Guards against H2: a primary that was paused and acknowledges a write when it resumes.
  @Test
  void should_not_acknowledge_a_write_after_a_pause_that_a_promotion_fell_into() throws Exception {
    // Not closed: closing a connection that the member dropped fails in the driver.
    Connection connection = group.connectOnce("a");
    connection.setAutoCommit(false);
    connection.createStatement().execute("INSERT INTO t VALUES (1, 'lost')");
    signal("STOP");
    CompletableFuture<Void> commit = CompletableFuture.runAsync(() -> commit(connection));
    String next = group.failOver(2);
    group.execute(next, "INSERT INTO t VALUES (1, 'kept')");
    assertThat(commit.isDone()).isFalse();
    signal("CONT");
    assertThrows(CompletionException.class, commit::join);
    group.awaitStatus("a", status -> status.getRole() == Role.REPLICA && status.getTerm() == 2);
    group.awaitApplied("a", next);
    assertThat(group.count("a", "SELECT COUNT(*) FROM t WHERE v = 'kept'")).isEqualTo(1);
    assertThat(group.count("a", "SELECT COUNT(*) FROM t")).isEqualTo(1);
  }

  private static void commit(Connection connection) {
    try {
      connection.commit();
    } catch (SQLException e) {
      throw new CompletionException(e);
    }
  }

  @Test
  void should_lose_no_acknowledged_write_when_the_primary_is_killed() throws Exception {
    List<Integer> acknowledged = new ArrayList<>();
    CompletableFuture<Void> enough = new CompletableFuture<>();
    CompletableFuture<Void> writer =
        CompletableFuture.runAsync(() -> writeUntilFailure(acknowledged, enough));
    enough.join();
    primary.destroyForcibly().waitFor();
    assertThrows(CompletionException.class, writer::join);
    String next = group.failOver(2);
    for (int id : acknowledged) {
      assertThat(group.count(next, "SELECT COUNT(*) FROM t WHERE id = " + id)).isEqualTo(1);
    }
    primary = group.startProcess("a");
    group.awaitStatus("a", status -> status.getRole() == Role.REPLICA && status.getTerm() == 2);
    group.awaitApplied("a", next);
    assertThat(group.count("a", "SELECT COUNT(*) FROM t"))
        .isEqualTo(group.count(next, "SELECT COUNT(*) FROM t"));
  }

  private void writeUntilFailure(List<Integer> acknowledged, CompletableFuture<Void> enough) {
    try (Connection connection = group.connectOnce("a");
        Statement statement = connection.createStatement()) {
      for (int id = 0; ; id++) {
        statement.execute("INSERT INTO t VALUES (" + id + ", 'x')");
        acknowledged.add(id);
        if (id == WRITES_BEFORE_KILL) {
          enough.complete(null);
        }
      }
    } catch (SQLException e) {
      throw new CompletionException(e);
    }
  }
}
