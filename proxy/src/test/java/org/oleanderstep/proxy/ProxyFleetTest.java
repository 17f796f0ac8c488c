package org.oleanderstep.proxy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.routing.GroupView;
import org.oleanderstep.core.routing.MemberView;
import org.oleanderstep.proxy.internal.traffic.Admission;
import org.oleanderstep.proxy.internal.traffic.ControlPlane;
import org.oleanderstep.schema.v1.PlatformFaults;
import org.oleanderstep.schema.v1.TlsSettings;

@Timeout(value = 30, unit = TimeUnit.SECONDS)
class ProxyFleetTest {

  private static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(3);
  private static final Duration MAX_START_TIME = Duration.ofSeconds(2);
  private static final Duration MAX_WITHDRAWAL_TIME = Duration.ofSeconds(5);

  @TempDir private Path directory;
  private Fleet fleet;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new Fleet(directory);
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  private static PlatformFaults unavailable() {
    return PlatformFaults.newBuilder().setUnavailable(true).build();
  }

  private void startReady(int count) {
    fleet.publish(fleet.declarations(Fleet.key("k1", false)));
    fleet.start(count);
    Fleet.await("readiness", Duration.ofSeconds(10), fleet::allReady);
  }

  @Nested
  class ConfigurationPropagation {

    @Test
    void should_apply_on_all_proxies_within_three_seconds() {
      startReady(5);
      for (int generation = 2; generation <= 4; generation++) {
        fleet.publish(fleet.declarations(Fleet.key("k" + generation, false)));
        long expected = generation;
        Duration taken =
            Fleet.await(
                "generation " + generation,
                MAX_PROPAGATION_TIME,
                () -> fleet.allAtGeneration(expected));
        System.out.println("generation " + generation + " in force everywhere after " + taken);
      }
    }

    // Few proxies of a failure domain watch the platform, so that its load does not grow with the
    // fleet; the others must get the configuration from peers.
    @Test
    @Tag("known-red")
    void should_reach_proxies_that_do_not_watch_the_platform() throws Exception {
      startInSingleDomain();
      publishByGossip();
      assertThat(fleet.platform.stats().getWaitingWatches()).isAtMost(4);
    }

    // A proxy that was paused takes the others for dead, and watches until it hears from them.
    @Test
    void should_return_to_two_watchers_after_changes_that_spread_by_gossip() throws Exception {
      startInSingleDomain();
      publishByGossip();
      awaitTwoWatchers();
    }

    private void startInSingleDomain() {
      fleet.useSingleDomain();
      startReady(5);
      awaitTwoWatchers();
    }

    private void publishByGossip() {
      for (int generation = 2; generation <= 4; generation++) {
        fleet.publish(fleet.declarations(Fleet.key("k" + generation, false)));
        long expected = generation;
        Duration taken =
            Fleet.await("gossip", MAX_PROPAGATION_TIME, () -> fleet.allAtGeneration(expected));
        System.out.println("generation " + generation + " by gossip after " + taken);
      }
    }

    // A proxy that watched before stops only when its last watch returns, and the count drops
    // briefly whenever several watches return together.
    private void awaitTwoWatchers() {
      Fleet.awaitStable(
          "two watchers",
          Duration.ofSeconds(2),
          Duration.ofSeconds(8),
          () -> fleet.platform.stats().getWaitingWatches() <= 4);
    }

    // A proxy that reaches only its peers must not keep serving with an outdated configuration.
    @Test
    void should_reach_a_proxy_that_is_partitioned_from_the_platform() {
      startReady(4);
      fleet.platform.setFaults(PlatformFaults.newBuilder().addUnavailableTo("vm-2").build());
      fleet.publish(fleet.declarations(Fleet.key("k2", false)));
      Fleet.await("generation 2", MAX_PROPAGATION_TIME, () -> fleet.allAtGeneration(2));
      assertThat(fleet.proxies.get("vm-2").isReady()).isTrue();
    }

    @Test
    void should_withdraw_a_key_everywhere_within_five_seconds() {
      startReady(5);
      fleet.publish(fleet.declarations(Fleet.key("k1", true)));
      Fleet.await("withdrawal", MAX_WITHDRAWAL_TIME, () -> fleet.allAtGeneration(2));
    }

    @Test
    void should_keep_serving_with_the_current_configuration_while_the_platform_is_down()
        throws Exception {
      startReady(3);
      fleet.platform.setFaults(unavailable());
      long end = System.nanoTime() + Duration.ofSeconds(6).toNanos();
      while (System.nanoTime() - end < 0) {
        assertThat(fleet.allReady()).isTrue();
        Thread.sleep(50);
      }
      assertThat(fleet.allAtGeneration(1)).isTrue();
    }

    // Without the platform and peers a proxy cannot learn that a key was withdrawn (guards H6:
    // a withdrawn key stops working within seconds).
    @Test
    void should_stop_serving_when_isolated_from_platform_and_peers() {
      startReady(2);
      ProxyServer isolated = fleet.proxies.get("vm-1");
      fleet.proxies.remove("vm-2").close();
      fleet.platform.setFaults(unavailable());
      Duration taken = Fleet.await("loss of trust", MAX_WITHDRAWAL_TIME, () -> !isolated.isReady());
      assertThat(taken).isGreaterThan(Duration.ofSeconds(2));
      assertThat(fleet.get(isolated, "/ready").body())
          .isEqualTo("the configuration is not trusted\n");
    }
  }

  @Nested
  class PeerTls {

    private TlsSettings tls(String name) {
      return TlsSettings.newBuilder()
          .setEnabled(true)
          .setCertificateFile(resource(name + ".crt"))
          .setPrivateKeyFile(resource(name + ".key"))
          .setTrustedCertificatesFile(resource("peer.crt"))
          .build();
    }

    private String resource(String name) {
      return Path.of("src/test/resources/tls", name).toString();
    }

    @Test
    void should_gossip_over_tls_but_not_with_an_untrusted_peer() {
      fleet.useSingleDomain();
      fleet.usePeerTls(tls("peer"));
      startReady(3);
      fleet.platform.setFaults(PlatformFaults.newBuilder().addUnavailableTo("vm-1").build());
      fleet.publish(fleet.declarations(Fleet.key("k2", false)));
      Fleet.await("generation 2", MAX_PROPAGATION_TIME, () -> fleet.allAtGeneration(2));

      fleet.platform.setFaults(unavailable());
      fleet.usePeerTls(tls("stranger"));
      ProxyServer untrusted = fleet.startProxy(4);
      long end = System.nanoTime() + Duration.ofSeconds(2).toNanos();
      while (System.nanoTime() - end < 0) {
        assertThat(untrusted.configurationGeneration()).isEqualTo(0);
      }
    }
  }

  @Nested
  class Start {

    @Test
    void should_be_ready_within_two_seconds() {
      startReady(3);
      long start = System.nanoTime();
      ProxyServer fourth = fleet.startProxy(4);
      Fleet.await("readiness", MAX_START_TIME, fourth::isReady);
      System.out.println(
          "ready after " + Duration.ofNanos(System.nanoTime() - start) + " within a warm process");
    }

    @Test
    void should_not_be_ready_before_anything_is_published() {
      fleet.start(2);
      ProxyServer proxy = fleet.proxies.get("vm-1");
      assertThat(fleet.get(proxy, "/ready").statusCode()).isEqualTo(503);
      assertThat(fleet.get(proxy, "/health").statusCode()).isEqualTo(200);
      fleet.publish(fleet.declarations());
      Fleet.await("readiness", MAX_PROPAGATION_TIME, fleet::allReady);
      assertThat(fleet.get(proxy, "/ready").statusCode()).isEqualTo(200);
      assertThat(fleet.get(proxy, "/metrics").body())
          .contains("oleanderstep_configuration_generation 1.0");
    }

    // A proxy that starts during a platform outage must not bring back an outdated configuration
    // (guards H13: a configuration never reverts).
    @Test
    void should_learn_the_newest_configuration_from_peers_while_the_platform_is_down()
        throws Exception {
      startReady(4);
      fleet.publish(fleet.declarations(Fleet.key("k1", true)));
      Fleet.await("generation 2", MAX_PROPAGATION_TIME, () -> fleet.allAtGeneration(2));
      fleet.platform.setFaults(unavailable());
      fleet.proxies.remove("vm-3").close();

      ProxyServer restarted = fleet.startProxy(3);

      Fleet.await(
          "readiness",
          Duration.ofSeconds(5),
          () -> {
            long generation = restarted.configurationGeneration();
            assertThat(generation).isAnyOf(0L, 2L);
            return restarted.isReady();
          });
      assertThat(restarted.configurationGeneration()).isEqualTo(2);
    }

    @Test
    void should_name_the_address_that_cannot_be_bound() {
      fleet.start(1);
      String taken = fleet.proxies.get("vm-1").peerAddress();
      ProxyServer second =
          ProxyServer.from(fleet.settings(2, List.of()).toBuilder().setPeerAddress(taken).build());
      RuntimeException failure = assertThrows(RuntimeException.class, second::start);
      assertThat(failure).hasMessageThat().contains("peerAddress " + taken);
    }
  }

  @Nested
  class Failover {

    @Test
    void should_promote_another_member_when_the_primary_is_lost() {
      startReady(3);
      Fleet.await(
          "first primary",
          MAX_PROPAGATION_TIME,
          () -> withoutPrimary(fleet.proxies.get("vm-1")) == 0);
      fleet.members.get(0).close();
      fleet.members.get(1).stopHearingFromPrimary();
      fleet.members.get(2).stopHearingFromPrimary();
      Duration taken =
          Fleet.await(
              "promotion",
              Duration.ofSeconds(8),
              () -> fleet.members.get(1).isPrimary() || fleet.members.get(2).isPrimary());
      System.out.println("promoted after " + taken);
      assertThat(taken).isGreaterThan(Duration.ofMillis(1_400));
      Fleet.await(
          "all proxies know the new primary",
          MAX_PROPAGATION_TIME,
          () -> fleet.proxies.values().stream().allMatch(p -> withoutPrimary(p) == 0));
    }

    // A proxy that only lost its own connection to the primary must not cause a failover.
    @Test
    void should_not_promote_while_the_replicas_hear_the_primary() throws Exception {
      startReady(2);
      fleet.members.get(0).close();
      Thread.sleep(4_000);
      assertThat(fleet.members.get(1).isPrimary()).isFalse();
      assertThat(fleet.members.get(2).isPrimary()).isFalse();
    }

    private double withoutPrimary(ProxyServer proxy) {
      String page = fleet.get(proxy, "/metrics").body();
      return page.lines()
          .filter(line -> line.startsWith("oleanderstep_databases_without_primary "))
          .map(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
          .findFirst()
          .orElseThrow();
    }
  }

  @Nested
  class Admissions {

    // Guards H7 (no organisation exceeds its rate and burst over all VMs): proxies that count alone
    // would each admit the whole burst.
    @Test
    void should_not_admit_more_than_rate_and_burst_over_all_proxies() {
      startReady(3);
      OrganisationId organisation = new OrganisationId("org");
      long start = System.nanoTime();
      int admitted = 0;
      for (int round = 0; round < 20; round++) {
        List<CompletableFuture<Admission>> requests = new ArrayList<>();
        for (ProxyServer proxy : fleet.proxies.values()) {
          for (int i = 0; i < 30; i++) {
            long deadline = System.nanoTime() + Duration.ofMillis(200).toNanos();
            requests.add(proxy.control().admit(organisation, deadline));
          }
        }
        for (CompletableFuture<Admission> admission : requests) {
          admitted += admission.join() instanceof Admission.Admitted ? 1 : 0;
        }
      }
      double seconds = (System.nanoTime() - start) / 1e9;
      // The buckets may be full at the start: burst 100, rate 100 per second.
      assertThat((double) admitted).isAtMost(100 + 100 * seconds);
      assertThat(admitted).isGreaterThan(0);
    }
  }

  @Nested
  class FreshPositions {

    private final DatabaseId database = new DatabaseId("s", "d");

    private ControlPlane startWithPrimary() {
      startReady(1);
      ControlPlane control = fleet.proxies.get("vm-1").control();
      Fleet.await("primary", MAX_PROPAGATION_TIME, () -> view(control).primary().isPresent());
      return control;
    }

    private GroupView view(ControlPlane control) {
      return control.snapshot().groups().get(database);
    }

    // A position from before the call may lack a write that another proxy has acknowledged.
    @Test
    void should_confirm_positions_only_by_requests_sent_after_the_call() {
      ControlPlane control = startWithPrimary();
      for (int index = 100; index < 150; index++) {
        fleet.members.get(0).setApplied(index);
        long requestedAt = System.nanoTime();
        control.requestMemberStatus(database);
        Fleet.await(
            "confirmed position",
            Duration.ofSeconds(3),
            () -> view(control).positionAsOf(requestedAt).isPresent());
        assertThat(view(control).positionAsOf(requestedAt))
            .isEqualTo(Optional.of(new LogPosition(1, index)));
      }
    }

    // Guards read-your-writes (H1) for sessions without a token: an old primary that is still
    // reachable reports a majority for a while after another member was promoted.
    @Test
    void should_confirm_the_new_primarys_position_while_the_old_one_still_answers() {
      ControlPlane control = startWithPrimary();
      fleet.members.get(1).becomePrimary(2, 50);
      fleet.members.get(2).setPromisedTerm(2);
      long requestedAt = System.nanoTime();
      control.requestMemberStatus(database);
      Fleet.await(
          "confirmed position",
          Duration.ofSeconds(3),
          () -> view(control).positionAsOf(requestedAt).isPresent());
      assertThat(view(control).primary()).isEqualTo(Optional.of(new MemberId("m2")));
      assertThat(view(control).positionAsOf(requestedAt))
          .isEqualTo(Optional.of(new LogPosition(2, 50)));
    }

    // Without the primary the other members cannot tell which writes it has acknowledged.
    @Test
    void should_not_confirm_a_position_without_the_primary() throws Exception {
      ControlPlane control = startWithPrimary();
      fleet.members.get(0).close();
      Fleet.await(
          "loss",
          Duration.ofSeconds(5),
          () -> view(control).members().stream().filter(MemberView::reachable).count() == 2);
      long requestedAt = System.nanoTime();
      control.requestMemberStatus(database);
      Thread.sleep(1_000);
      assertThat(view(control).positionAsOf(requestedAt)).isEqualTo(Optional.empty());
    }

    // An old primary that is the only reachable member must not confirm a position.
    @Test
    void should_not_confirm_a_position_without_a_majority() throws Exception {
      ControlPlane control = startWithPrimary();
      fleet.members.get(1).close();
      fleet.members.get(2).close();
      Fleet.await(
          "loss",
          Duration.ofSeconds(5),
          () -> view(control).members().stream().filter(MemberView::reachable).count() == 1);
      long requestedAt = System.nanoTime();
      control.requestMemberStatus(database);
      Thread.sleep(1_000);
      assertThat(view(control).positionAsOf(requestedAt)).isEqualTo(Optional.empty());
    }

    // Many concurrent reads must not each cause a status request to every member.
    @Test
    void should_share_status_requests_between_concurrent_calls() {
      ControlPlane control = startWithPrimary();
      int requestsBefore = fleet.members.get(0).statusRequests();
      for (int i = 0; i < 500; i++) {
        control.requestMemberStatus(database);
      }
      long last = System.nanoTime();
      control.requestMemberStatus(database);
      Fleet.await(
          "confirmed position",
          Duration.ofSeconds(3),
          () -> view(control).positionAsOf(last).isPresent());
      assertThat(fleet.members.get(0).statusRequests() - requestsBefore).isLessThan(50);
    }
  }

  @Nested
  class Drain {

    @Test
    void should_report_leaving_and_stop_when_nothing_runs() throws Exception {
      startReady(2);
      ProxyServer leaving = fleet.proxies.get("vm-1");
      leaving.drain(Duration.ofSeconds(5)).get(5, TimeUnit.SECONDS);
      leaving.awaitStopped();
      assertThat(fleet.proxies.get("vm-2").isReady()).isTrue();
    }
  }
}
