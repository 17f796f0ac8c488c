package org.oleanderstep.standins.member;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.Durations;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.apache.calcite.avatica.AvaticaClientRuntimeException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.schema.v1.MemberSettings;
import org.oleanderstep.schema.v1.Role;

/** Settings and the first moments of a member. */
class MemberStartTest {

  private static final Duration CONNECT_DELAY = Duration.ofMillis(80);

  @TempDir Path directory;

  // Guards against reads on a new primary that miss writes of its predecessor.
  @Test
  void should_serve_nothing_as_primary_before_a_majority_holds_its_first_entry() {
    try (GroupFixture group = new GroupFixture(directory)) {
      group.start("a");
      assertThat(group.status("a").getRole()).isEqualTo(Role.JOINING);
      AvaticaClientRuntimeException refusal =
          assertThrows(AvaticaClientRuntimeException.class, () -> group.connectOnce("a"));
      assertThat(refusal.getSqlState()).isEqualTo("57P03");
      group.start("b");
      group.awaitInitialPrimary();
    }
  }

  @Test
  void should_delay_each_new_connection() throws Exception {
    try (GroupFixture group =
        new GroupFixture(
                directory,
                member -> member.setConnectDelay(Durations.fromMillis(CONNECT_DELAY.toMillis())))
            .start()) {
      long start = System.nanoTime();
      group.connectOnce("a").close();
      assertThat(System.nanoTime() - start).isAtLeast(CONNECT_DELAY.toNanos());
    }
  }

  @Test
  void should_refuse_settings_with_an_unknown_field() throws IOException {
    Path file = directory.resolve("settings.json");
    Files.writeString(file, "{\"name\": \"a\", \"colour\": \"red\"}");
    UncheckedIOException refusal =
        assertThrows(UncheckedIOException.class, () -> MemberCommand.readSettings(file));
    assertThat(refusal).hasCauseThat().isInstanceOf(InvalidProtocolBufferException.class);
    assertThat(refusal).hasCauseThat().hasMessageThat().contains("colour");
  }

  @Test
  void should_refuse_settings_without_a_data_directory() {
    MemberSettings settings = MemberSettings.newBuilder().setName("a").setUser("proxy").build();
    IllegalArgumentException refusal =
        assertThrows(IllegalArgumentException.class, () -> Member.start(settings));
    assertThat(refusal).hasMessageThat().contains("data_directory");
  }
}
