package org.oleanderstep.load.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.schema.v1.Role;

class PrimaryLookupTest {

  private static final Duration LIMIT = Duration.ofSeconds(10);

  private static MemberStatus status(String member, Role role, long term) {
    return MemberStatus.newBuilder().setMember(member).setRole(role).setTerm(term).build();
  }

  // On a busy machine no member answered the first look in time, and a scenario ended with "has no
  // primary" although the group had one.
  @Test
  void should_look_again_if_no_member_answers() throws Exception {
    Deque<List<MemberStatus>> answers = new ArrayDeque<>();
    answers.add(List.of());
    answers.add(List.of(status("orders-1", Role.PRIMARY, 1)));

    assertThat(PrimaryLookup.await(answers::poll, LIMIT, System::nanoTime))
        .hasValue("member/orders-1");
  }

  // A fault may be due while the primary is being replaced.
  @Test
  void should_wait_for_the_successor_of_a_primary() throws Exception {
    Deque<List<MemberStatus>> answers = new ArrayDeque<>();
    answers.add(List.of(status("orders-1", Role.REPLICA, 1)));
    answers.add(List.of(status("orders-1", Role.PRIMARY, 1), status("orders-2", Role.PRIMARY, 2)));

    assertThat(PrimaryLookup.await(answers::poll, LIMIT, System::nanoTime))
        .hasValue("member/orders-2");
  }

  @Test
  void should_end_when_there_is_no_primary_within_the_limit() throws Exception {
    List<MemberStatus> replicas = List.of(status("orders-1", Role.REPLICA, 1));

    assertThat(PrimaryLookup.await(() -> replicas, Duration.ZERO, System::nanoTime)).isEmpty();
  }
}
