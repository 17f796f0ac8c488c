package org.oleanderstep.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.VmId;

class PeerTableTest {

  private static final long SECOND = 1_000_000_000L;
  private static final VmId A = new VmId("a");
  private static final VmId B = new VmId("b");
  private static final VmId C = new VmId("c");

  private final PeerTable a = table("a", "a1", "x");
  private final PeerTable b = table("b", "b1", "x");
  private final PeerTable c = table("c", "c1", "x");

  private static PeerTable table(String vm, String instance, String domain) {
    return new PeerTable(
        new PeerIdentity(new VmId(vm), instance, domain, vm + ":1", vm + ":2"),
        MembershipSettings.DEFAULT);
  }

  private static void setGeneration(PeerTable table, long generation) {
    table.updateLocalState(new LocalPeerState(generation, 0, true, false, Map.of()));
  }

  private static void exchange(PeerTable caller, PeerTable called, long sentAt, long receivedAt) {
    PeerDigest reply = called.onRequest(caller.digest(sentAt), receivedAt);
    caller.onReply(reply, sentAt, receivedAt);
  }

  private static void receiveVmList(VmList list, PeerTable... tables) {
    for (PeerTable table : tables) {
      table.onVmList(list);
    }
  }

  @Test
  void should_accumulate_ages_over_the_hops() {
    exchange(b, c, SECOND, SECOND);
    exchange(a, b, 2 * SECOND, 2 * SECOND);
    PeerState relayed =
        a.peers(3 * SECOND).stream().filter(peer -> peer.vm().equals(C)).findFirst().orElseThrow();
    assertThat(relayed.age()).isEqualTo(Duration.ofSeconds(2));
  }

  // A request may have waited in a socket buffer during a pause, so it does not prove that its
  // sender is running.
  @Test
  void should_not_treat_a_request_as_proof_that_its_sender_is_running() {
    a.onRequest(b.digest(0), SECOND);
    assertThat(a.peers(SECOND)).hasSize(1);
    assertThat(a.livePeers(SECOND)).isEmpty();
    exchange(a, b, SECOND, SECOND);
    assertThat(a.livePeers(SECOND)).hasSize(1);
  }

  // A peer that is known only from a request must not look recent to proxies that this one
  // relays it to.
  @Test
  void should_not_relay_a_request_as_proof_that_its_sender_is_running() {
    c.onRequest(b.digest(0), 0);
    exchange(a, c, SECOND, SECOND);
    assertThat(a.peers(SECOND)).hasSize(2);
    assertThat(a.livePeers(SECOND).stream().map(PeerState::vm)).containsExactly(C);
  }

  @Test
  void should_suspect_a_peer_without_recent_contact() {
    exchange(a, b, 0, 0);
    assertThat(a.livePeers(SECOND)).hasSize(1);
    assertThat(a.livePeers(2 * SECOND)).isEmpty();
  }

  @Test
  void should_replace_the_state_of_a_restarted_process() {
    exchange(a, b, 0, 0);
    PeerTable restarted = table("b", "b2", "x");
    exchange(a, restarted, SECOND, SECOND);
    exchange(c, b, 0, 0);
    exchange(a, c, 2 * SECOND, 2 * SECOND);
    assertThat(
            a.peers(2 * SECOND).stream()
                .filter(peer -> peer.vm().equals(B))
                .map(PeerState::instance))
        .containsExactly("b2");
  }

  @Test
  void should_keep_the_higher_sequence_of_an_instance() {
    setGeneration(b, 5);
    exchange(a, b, 0, 0);
    setGeneration(b, 6);
    exchange(c, b, SECOND, SECOND);
    exchange(a, c, 2 * SECOND, 2 * SECOND);
    assertThat(a.peerWithNewestConfiguration(2 * SECOND).orElseThrow().configurationGeneration())
        .isEqualTo(6);
  }

  @Test
  void should_relay_platform_contact_with_its_age() {
    setGeneration(a, 3);
    setGeneration(b, 3);
    b.onPlatformContact(SECOND);
    exchange(a, b, 3 * SECOND, 3 * SECOND);
    assertThat(a.trustEvidence(4 * SECOND).platformContactAge()).hasValue(Duration.ofSeconds(3));
  }

  // The platform confirmed the peer's generation, not the older one of this process.
  @Test
  void should_not_use_the_platform_contact_of_a_peer_with_a_higher_generation() {
    setGeneration(a, 3);
    setGeneration(b, 4);
    b.onPlatformContact(SECOND);
    exchange(a, b, SECOND, SECOND);
    assertThat(a.trustEvidence(SECOND).platformContactAge()).isEmpty();
    assertThat(a.peerWithNewestConfiguration(SECOND).orElseThrow().vm()).isEqualTo(B);
  }

  @Test
  void should_measure_the_age_of_majority_contact_from_the_oldest_contact() {
    receiveVmList(new VmList(1, Set.of(A, B, C), Set.of()), a, b, c);
    exchange(a, b, SECOND, SECOND);
    assertThat(a.trustEvidence(3 * SECOND).majorityContactAge()).hasValue(Duration.ofSeconds(2));
  }

  @Test
  void should_not_count_a_minority_as_a_majority() {
    Set<VmId> vms = Set.of(A, B, C, new VmId("d"), new VmId("e"));
    receiveVmList(new VmList(1, vms, Set.of()), a, b);
    exchange(a, b, SECOND, SECOND);
    assertThat(a.trustEvidence(SECOND).majorityContactAge()).isEmpty();
  }

  @Test
  void should_not_trust_a_majority_while_a_newer_generation_is_known() {
    receiveVmList(new VmList(1, Set.of(A, B, C), Set.of()), a, b, c);
    setGeneration(b, 2);
    exchange(a, b, SECOND, SECOND);
    exchange(a, c, SECOND, SECOND);
    assertThat(a.trustEvidence(SECOND).majorityContactAge()).isEmpty();
  }

  @Test
  void should_return_whether_all_report_exactly_a_generation() {
    setGeneration(a, 3);
    setGeneration(b, 3);
    exchange(a, b, 0, 0);
    assertThat(a.allReportGeneration(List.of(A, B), 3)).isTrue();
    assertThat(a.allReportGeneration(List.of(A, B, C), 3)).isFalse();
    setGeneration(b, 4);
    exchange(a, b, SECOND, SECOND);
    assertThat(a.allReportGeneration(List.of(A, B), 3)).isFalse();
  }

  @Test
  void should_remove_an_expired_peer_only_if_the_platform_does_not_list_it() {
    exchange(a, b, 0, 0);
    exchange(a, c, 31 * SECOND, 31 * SECOND);
    assertThat(a.peers(31 * SECOND)).hasSize(2);
    a.onVmList(new VmList(1, Set.of(A, C), Set.of()));
    exchange(a, c, 32 * SECOND, 32 * SECOND);
    assertThat(a.peers(32 * SECOND)).hasSize(1);
  }

  // With a single watcher, a failure domain would miss changes when it fails; more than two put
  // needless load on the platform.
  @Test
  void should_elect_two_watchers_for_each_failure_domain() {
    PeerTable[] tables = new PeerTable[7];
    for (int i = 0; i < tables.length; i++) {
      tables[i] = table("vm" + i, "p" + i, i < 5 ? "x" : "y");
    }
    for (PeerTable caller : tables) {
      for (PeerTable called : tables) {
        if (caller != called) {
          exchange(caller, called, 0, 0);
        }
      }
    }
    int watchers = 0;
    for (PeerTable table : tables) {
      watchers += WatcherElection.isWatcher(table, 0) ? 1 : 0;
    }
    assertThat(watchers).isEqualTo(4);
    int alone = 0;
    for (PeerTable table : tables) {
      alone += WatcherElection.isWatcher(table, 10 * SECOND) ? 1 : 0;
    }
    assertThat(alone).isEqualTo(7);
  }

  @Test
  void should_select_two_different_peers_and_eventually_all_of_them() {
    GossipPeerSelector selector = new GossipPeerSelector(new Random(1));
    List<String> seeds = List.of("b:1", "c:1", "d:1", "a:1");
    Set<String> chosen = new HashSet<>();
    for (int round = 0; round < 50; round++) {
      List<String> peers = selector.selectPeers(a, seeds, 0);
      assertThat(peers).hasSize(2);
      assertThat(new HashSet<>(peers)).hasSize(2);
      chosen.addAll(peers);
    }
    assertThat(chosen).containsExactly("b:1", "c:1", "d:1");
  }

  @Test
  void should_trust_only_recent_evidence_of_either_kind() {
    TrustPolicy policy = new TrustPolicy(Duration.ofSeconds(4));
    Optional<Duration> recent = Optional.of(Duration.ofSeconds(4));
    Optional<Duration> old = Optional.of(Duration.ofMillis(4_001));
    Optional<Duration> never = Optional.empty();
    assertThat(policy.decide(new TrustEvidence(recent, old)).reason())
        .isEqualTo(TrustReason.PLATFORM_CONTACT);
    assertThat(policy.decide(new TrustEvidence(old, recent)).reason())
        .isEqualTo(TrustReason.MAJORITY_CONTACT);
    assertThat(policy.decide(new TrustEvidence(old, never)))
        .isEqualTo(new TrustDecision(Trust.UNTRUSTED, TrustReason.ISOLATED));
    assertThat(policy.decide(new TrustEvidence(never, never)).reason())
        .isEqualTo(TrustReason.NEVER_CONFIRMED);
  }
}
