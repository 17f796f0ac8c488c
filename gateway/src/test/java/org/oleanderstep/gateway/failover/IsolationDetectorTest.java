package org.oleanderstep.gateway.failover;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.gateway.control.TargetMember;

class IsolationDetectorTest {

  private static final MemberId PRIMARY = new MemberId("primary");
  private static final MemberId REPLICA = new MemberId("replica");
  private static final int VMS = 5;

  private final IsolationDetector detector = new IsolationDetector();
  private List<TargetMember> members = List.of(member(PRIMARY, true), member(REPLICA, false));
  private Set<String> unproved = Set.of("main");
  private long now = Duration.ofHours(1).toNanos();

  private static TargetMember member(MemberId id, boolean primary) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return new TargetMember(id, 1, "main", address, "zone", 2, false, primary);
  }

  private Set<String> after(Duration time, Set<MemberId> suspects, Map<MemberId, Integer> votes) {
    detector.update(members, unproved, suspects, votes, VMS, now);
    now += time.toNanos();
    return detector.update(members, unproved, suspects, votes, VMS, now);
  }

  // Callers that stay at a VM without the primary fail, although other VMs would serve them.
  @Test
  void should_find_a_partition_between_this_vm_and_a_primary() {
    assertThat(after(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 2)))
        .containsExactly("main");
  }

  // With half of the votes the primary is not replaced, so that callers must move.
  @Test
  void should_leave_no_gap_to_the_votes_that_replace_a_primary() {
    Map<MemberId, Integer> half = Map.of(PRIMARY, 2);
    detector.update(members, unproved, Set.of(PRIMARY), half, 4, now);
    now += Duration.ofSeconds(2).toNanos();

    assertThat(detector.update(members, unproved, Set.of(PRIMARY), half, 4, now))
        .containsExactly("main");
  }

  // The entry of a former primary that is cut off from the platform still says that it leads.
  @Test
  void should_not_rely_on_a_former_primary_that_answers() {
    members = List.of(member(PRIMARY, true), member(REPLICA, true));

    assertThat(after(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 2)))
        .containsExactly("main");
  }

  @Test
  void should_stay_while_a_member_shows_that_it_leads() {
    members = List.of(member(PRIMARY, true), member(REPLICA, true));
    unproved = Set.of();

    assertThat(after(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 2))).isEmpty();
  }

  // A lost primary is missed by all; sending callers away would only cost them a new connection.
  @Test
  void should_stay_while_most_vms_miss_the_primary() {
    assertThat(after(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 3))).isEmpty();
  }

  @Test
  void should_not_react_to_a_short_silence() {
    assertThat(after(Duration.ofMillis(500), Set.of(PRIMARY), Map.of(PRIMARY, 1))).isEmpty();
  }

  @Test
  void should_end_when_the_primary_answers_again() {
    after(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 1));

    assertThat(after(Duration.ofMillis(50), Set.of(), Map.of())).isEmpty();
  }

  // Replicas serve only reads, which another replica or the primary serves as well.
  @Test
  void should_ignore_a_replica_that_does_not_answer() {
    assertThat(after(Duration.ofSeconds(2), Set.of(REPLICA), Map.of(REPLICA, 1))).isEmpty();
  }
}
