package org.oleanderstep.standins.member;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.schema.v1.FenceReply;
import org.oleanderstep.schema.v1.Role;

/** Writers on a group whose links, roles and processes change at random. */
class MemberFaultTest {

  /** Another seed can be tried with {@code -Dmember.fault.seed}. */
  private static final long SEED = Long.getLong("member.fault.seed", 20261204);

  private static final Duration DURATION = Duration.ofSeconds(8);
  private static final int WRITERS = 3;
  private static final List<String> NAMES = List.of("a", "b", "c");

  private final Random random = new Random(SEED);
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicInteger ids = new AtomicInteger();
  private final Set<Integer> acknowledged = ConcurrentHashMap.newKeySet();
  private long term = 1;

  @TempDir Path directory;

  // Guards against writes that are lost, or members that differ, after any mix of faults.
  @Test
  void should_keep_acknowledged_writes_on_all_members_through_random_faults() throws Exception {
    try (GroupFixture group = new GroupFixture(directory).start()) {
      group.execute("a", "CREATE TABLE t (id INT PRIMARY KEY)");
      List<CompletableFuture<Void>> writers = new ArrayList<>();
      for (int i = 0; i < WRITERS; i++) {
        writers.add(CompletableFuture.runAsync(() -> write(group)));
      }
      long end = System.nanoTime() + DURATION.toNanos();
      while (System.nanoTime() < end) {
        injectFault(group);
        TimeUnit.MILLISECONDS.sleep(random.nextInt(300));
      }
      stopped.set(true);
      writers.forEach(CompletableFuture::join);
      NAMES.forEach(name -> group.cut(name));
      String primary = failOver(group);
      Set<Integer> expected = rows(group, primary);
      assertThat(acknowledged).isNotEmpty();
      assertThat(expected).containsAtLeastElementsIn(acknowledged);
      for (String name : NAMES) {
        group.awaitStatus(name, status -> status.getTerm() == term);
        group.awaitApplied(name, primary);
        assertThat(rows(group, name)).isEqualTo(expected);
      }
    }
  }

  private void injectFault(GroupFixture group) {
    String name = NAMES.get(random.nextInt(NAMES.size()));
    switch (random.nextInt(4)) {
      case 0 -> group.cut(name, NAMES.get(random.nextInt(NAMES.size())));
      case 1 -> {
        group.stop(name);
        group.start(name);
      }
      case 2 -> NAMES.forEach(member -> group.cut(member));
      default -> failOver(group);
    }
  }

  /** Does what a candidate does: fences two members and promotes the more advanced one. */
  private String failOver(GroupFixture group) {
    while (true) {
      term++;
      String first = NAMES.get(random.nextInt(NAMES.size()));
      String second = NAMES.get((NAMES.indexOf(first) + 1) % NAMES.size());
      FenceReply one = group.fence(first, term, "vm-1");
      FenceReply two = group.fence(second, term, "vm-1");
      if (!one.getAccepted() || !two.getAccepted()) {
        continue;
      }
      boolean secondLeads =
          GroupFixture.isAfter(two.getStatus().getReceived(), one.getStatus().getReceived());
      String chosen = secondLeads ? second : first;
      if (!group.promote(chosen, term, "vm-1").getAccepted()) {
        continue;
      }
      if (!stopped.get()) {
        return chosen;
      }
      group.awaitStatus(chosen, status -> status.getRole() == Role.PRIMARY);
      return chosen;
    }
  }

  private void write(GroupFixture group) {
    while (!stopped.get()) {
      for (String name : NAMES) {
        writeWhilePrimary(group, name);
      }
    }
  }

  private void writeWhilePrimary(GroupFixture group, String name) {
    try (Connection connection = group.connectOnce(name);
        Statement statement = connection.createStatement()) {
      while (!stopped.get()) {
        int id = ids.incrementAndGet();
        statement.execute("INSERT INTO t VALUES (" + id + ")");
        acknowledged.add(id);
      }
    } catch (SQLException | RuntimeException e) {
      // The member is no primary or is stopped: the next one may be.
      Thread.onSpinWait();
    }
  }

  private static Set<Integer> rows(GroupFixture group, String name) throws SQLException {
    Set<Integer> ids = new HashSet<>();
    try (Connection connection = group.connectOnce(name);
        Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery("SELECT id FROM t")) {
      while (rows.next()) {
        ids.add(rows.getInt(1));
      }
    }
    return ids;
  }
}
