package org.oleanderstep.standins.member.internal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import com.google.protobuf.util.Durations;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.schema.v1.AppendReply;
import org.oleanderstep.schema.v1.AppendRequest;
import org.oleanderstep.schema.v1.LogEntry;
import org.oleanderstep.schema.v1.Position;
import org.oleanderstep.schema.v1.Role;

/** Rules of terms and log matching, call by call, for member b of the group a, b, c. */
class ReplicationStateTest {

  @TempDir Path directory;
  private ReplicatedLog log;
  private ReplicationState state;
  private long nowNanos = 1;

  @BeforeEach
  void createReplica() {
    log = ReplicatedLog.open(directory);
    state = create("a");
  }

  @AfterEach
  void closeLog() {
    log.close();
  }

  private ReplicationState create(String initialPrimary) {
    return new ReplicationState(
        "b",
        List.of("a", "c"),
        initialPrimary,
        Duration.ZERO,
        log,
        new PromiseFile(directory),
        () -> nowNanos,
        () -> {});
  }

  private static Position position(long term, long index) {
    return Position.newBuilder().setTerm(term).setIndex(index).build();
  }

  private static AppendRequest request(
      String primary, long term, Position previous, long committed, Position... entries) {
    AppendRequest.Builder request =
        AppendRequest.newBuilder()
            .setTerm(term)
            .setPrimary(primary)
            .setPrevious(previous)
            .setCommittedIndex(committed);
    for (Position entry : entries) {
      request.addEntries(
          LogEntry.newBuilder()
              .setPosition(entry)
              .setPayload(ByteString.copyFromUtf8(entry.toString())));
    }
    return request.build();
  }

  private static AppendReply accepted(long promisedTerm) {
    return AppendReply.newBuilder().setAccepted(true).setPromisedTerm(promisedTerm).build();
  }

  private void receive(AppendRequest request) {
    assertThat(state.append(request).getAccepted()).isTrue();
  }

  @Test
  void should_refuse_entries_of_a_term_below_the_promise() {
    assertThat(state.fence(2, "vm-1")).isTrue();
    AppendReply reply = state.append(request("a", 1, position(0, 0), 0, position(1, 1)));
    assertThat(reply.getAccepted()).isFalse();
    assertThat(reply.getPromisedTerm()).isEqualTo(2);
    assertThat(log.lastIndex()).isEqualTo(0);
  }

  // Guards against an entry that is taken for committed although a later primary may replace it.
  @Test
  void should_not_commit_an_entry_of_an_earlier_term_by_counting_its_copies() {
    receive(request("a", 1, position(0, 0), 0, position(1, 1)));
    assertThat(state.fence(2, "vm-1")).isTrue();
    assertThat(state.promote(2, "vm-1")).isTrue();
    assertThat(log.lastPosition()).isEqualTo(position(2, 2));
    state.appended("c", request("b", 2, position(0, 0), 0, position(1, 1)), accepted(2), nowNanos);
    assertThat(log.loadCommitted()).isEqualTo(0);
    state.appended("c", request("b", 2, position(1, 1), 0, position(2, 2)), accepted(2), nowNanos);
    assertThat(log.loadCommitted()).isEqualTo(2);
  }

  // Guards against an acknowledgement that counts after this primary promised a higher term.
  @Test
  void should_ignore_an_acknowledgement_after_a_fence() {
    assertThat(state.fence(2, "vm-1")).isTrue();
    assertThat(state.promote(2, "vm-1")).isTrue();
    AppendRequest sent = request("b", 2, position(0, 0), 0, position(2, 1));
    assertThat(state.fence(3, "vm-2")).isTrue();
    state.appended("c", sent, accepted(2), nowNanos);
    assertThat(log.loadCommitted()).isEqualTo(0);
    assertThat(state.status().getRole()).isNotEqualTo(Role.PRIMARY);
  }

  @Test
  void should_step_down_when_a_replica_promised_a_higher_term() {
    assertThat(state.fence(2, "vm-1")).isTrue();
    assertThat(state.promote(2, "vm-1")).isTrue();
    AppendRequest sent = request("b", 2, position(0, 0), 0, position(2, 1));
    state.appended("c", sent, accepted(5), nowNanos);
    assertThat(log.loadCommitted()).isEqualTo(0);
    assertThat(state.status().getPromisedTerm()).isEqualTo(5);
    assertThat(state.promote(2, "vm-1")).isFalse();
  }

  @Test
  void should_replace_entries_that_differ_from_the_primary() {
    receive(request("a", 1, position(0, 0), 1, position(1, 1), position(1, 2), position(1, 3)));
    assertThat(state.append(request("c", 2, position(2, 3), 1)).getAccepted()).isFalse();
    assertThat(log.lastIndex()).isEqualTo(2);
    receive(request("c", 2, position(1, 1), 1, position(2, 2)));
    assertThat(log.lastPosition()).isEqualTo(position(2, 2));
  }

  // Guards against a repeated call that arrives late and removes entries after it.
  @Test
  void should_keep_later_entries_when_a_call_is_repeated() {
    AppendRequest first = request("a", 1, position(0, 0), 0, position(1, 1));
    receive(first);
    receive(request("a", 1, position(1, 1), 0, position(1, 2)));
    receive(first);
    assertThat(log.lastIndex()).isEqualTo(2);
  }

  // Guards against silent loss of committed entries.
  @Test
  void should_never_drop_a_committed_entry() {
    receive(request("a", 1, position(0, 0), 2, position(1, 1), position(1, 2)));
    assertThrows(
        IllegalStateException.class,
        () -> state.append(request("c", 2, position(1, 1), 1, position(2, 2))));
    assertThat(log.lastPosition()).isEqualTo(position(1, 2));
  }

  @Test
  void should_report_how_long_it_has_not_heard_from_the_primary() {
    receive(request("a", 1, position(0, 0), 0));
    nowNanos += Duration.ofMillis(1_700).toNanos();
    assertThat(silenceMillis()).isEqualTo(1_700);
    receive(request("a", 1, position(0, 0), 0));
    assertThat(silenceMillis()).isEqualTo(0);
  }

  private long silenceMillis() {
    return Durations.toMillis(state.status().getPrimarySilence());
  }
}
