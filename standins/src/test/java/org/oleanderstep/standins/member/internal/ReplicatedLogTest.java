package org.oleanderstep.standins.member.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplicatedLogTest {

  private static final int MORE_THAN_CACHED = 3_000;

  @TempDir Path directory;

  private static ByteString payload(long i) {
    return ByteString.copyFromUtf8("payload " + i);
  }

  @Test
  void should_read_entries_that_are_no_longer_in_memory() {
    try (ReplicatedLog log = ReplicatedLog.open(directory)) {
      for (int i = 1; i <= MORE_THAN_CACHED; i++) {
        log.append(1, payload(i));
      }
      assertThat(log.get(1).getPayload()).isEqualTo(payload(1));
      assertThat(log.get(MORE_THAN_CACHED).getPayload()).isEqualTo(payload(MORE_THAN_CACHED));
    }
  }

  // Guards against a truncated entry that comes back from the cache or the file.
  @Test
  void should_replace_truncated_entries_for_good() {
    try (ReplicatedLog log = ReplicatedLog.open(directory)) {
      for (int i = 1; i <= 5; i++) {
        log.append(1, payload(i));
      }
      log.truncateAfter(2);
      log.append(2, payload(30));
    }
    try (ReplicatedLog log = ReplicatedLog.open(directory)) {
      assertThat(log.lastIndex()).isEqualTo(3);
      assertThat(log.termAt(3)).isEqualTo(2);
      assertThat(log.get(3).getPayload()).isEqualTo(payload(30));
    }
  }

  // Guards against a log that can't be opened after the process was killed while writing.
  @Test
  void should_drop_an_entry_that_was_written_in_part() throws IOException {
    try (ReplicatedLog log = ReplicatedLog.open(directory)) {
      log.append(1, payload(1));
      log.append(1, payload(2));
    }
    Path file = directory.resolve("log");
    byte[] bytes = Files.readAllBytes(file);
    Files.write(file, Arrays.copyOf(bytes, bytes.length - 3), StandardOpenOption.TRUNCATE_EXISTING);
    try (ReplicatedLog log = ReplicatedLog.open(directory)) {
      assertThat(log.lastIndex()).isEqualTo(1);
      log.append(1, payload(20));
      assertThat(log.get(2).getPayload()).isEqualTo(payload(20));
    }
  }

  @Test
  void should_keep_the_committed_index() {
    try (ReplicatedLog log = ReplicatedLog.open(directory)) {
      log.append(1, payload(1));
      log.saveCommitted(1);
    }
    try (ReplicatedLog log = ReplicatedLog.open(directory)) {
      assertThat(log.loadCommitted()).isEqualTo(1);
    }
  }
}
