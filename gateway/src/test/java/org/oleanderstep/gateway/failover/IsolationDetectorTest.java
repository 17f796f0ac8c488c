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
  private Set<String> unconfirmedServices = Set.of("main");
  private long now = Duration.ofHours(1).toNanos();

  private static TargetMember member(MemberId id, boolean primary) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return new TargetMember(id, 1, "main", address, "zone", 2, false, primary);
  }

  private Set<String> updateTwice(
      Duration time, Set<MemberId> suspects, Map<MemberId, Integer> votes) {
    detector.update(members, unconfirmedServices, suspects, votes, VMS, now);
    now += time.toNanos();
    return detector.update(members, unconfirmedServices, suspects, votes, VMS, now);
  }

  // Guards against callers that keep failing at a VM that is partitioned from the primary, although
  // other VMs could serve them.
  @Test
  void should_detect_a_partition_between_this_vm_and_a_primary() {
    assertThat(updateTwice(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 2)))
        .containsExactly("main");
  }

  // Half of the votes is not enough to replace the primary, so the callers must move instead.
  @Test
  void should_detect_a_partition_with_one_vote_less_than_a_promotion_needs() {
    Map<MemberId, Integer> half = Map.of(PRIMARY, 2);
    detector.update(members, unconfirmedServices, Set.of(PRIMARY), half, 4, now);
    now += Duration.ofSeconds(2).toNanos();

    assertThat(detector.update(members, unconfirmedServices, Set.of(PRIMARY), half, 4, now))
        .containsExactly("main");
  }

  // A former primary that is partitioned from the platform still claims to be the primary in its
  // registry entry.
  @Test
  void should_not_rely_on_a_former_primary_that_answers() {
    members = List.of(member(PRIMARY, true), member(REPLICA, true));

    assertThat(updateTwice(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 2)))
        .containsExactly("main");
  }

  @Test
  void should_report_nothing_while_a_member_confirms_that_it_is_the_primary() {
    members = List.of(member(PRIMARY, true), member(REPLICA, true));
    unconfirmedServices = Set.of();

    assertThat(updateTwice(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 2))).isEmpty();
  }

  // If the primary has failed, no VM reaches it; moving callers would only cost them a new
  // connection.
  @Test
  void should_report_nothing_while_most_vms_do_not_reach_the_primary() {
    assertThat(updateTwice(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 3))).isEmpty();
  }

  @Test
  void should_not_react_to_a_short_outage() {
    assertThat(updateTwice(Duration.ofMillis(500), Set.of(PRIMARY), Map.of(PRIMARY, 1))).isEmpty();
  }

  @Test
  void should_report_nothing_once_the_primary_answers_again() {
    updateTwice(Duration.ofSeconds(2), Set.of(PRIMARY), Map.of(PRIMARY, 1));

    assertThat(updateTwice(Duration.ofMillis(50), Set.of(), Map.of())).isEmpty();
  }

  // Replicas serve only reads, which other replicas or the primary can serve as well.
  @Test
  void should_ignore_a_replica_that_does_not_answer() {
    assertThat(updateTwice(Duration.ofSeconds(2), Set.of(REPLICA), Map.of(REPLICA, 1))).isEmpty();
  }
}
