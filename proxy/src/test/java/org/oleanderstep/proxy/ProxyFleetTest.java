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

  private static final Duration IN_FORCE_AIM = Duration.ofSeconds(3);
  private static final Duration START_AIM = Duration.ofSeconds(2);
  private static final Duration WITHDRAWAL_BOUND = Duration.ofSeconds(5);

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
  class ConfigurationInForce {

    @Test
    void should_be_in_force_on_all_proxies_within_three_seconds() {
      startReady(5);
      for (int generation = 2; generation <= 4; generation++) {
        fleet.publish(fleet.declarations(Fleet.key("k" + generation, false)));
        long expected = generation;
        Duration taken =
            Fleet.await(
                "generation " + generation, IN_FORCE_AIM, () -> fleet.allAtGeneration(expected));
        System.out.println("generation " + generation + " in force everywhere after " + taken);
      }
    }

    // The load of the platform must not grow with the fleet.
    @Test
    void should_reach_proxies_that_do_not_watch_the_platform() throws Exception {
      fleet.useSingleDomain();
      startReady(5);
      // A process that watched at the start ends only with its last watch, and the count dips
      // whenever several watches are answered together.
      Fleet.awaitSteady(
          "two watchers",
          Duration.ofSeconds(2),
          Duration.ofSeconds(8),
          () -> fleet.platform.stats().getWaitingWatches() <= 4);
      for (int generation = 2; generation <= 4; generation++) {
        fleet.publish(fleet.declarations(Fleet.key("k" + generation, false)));
        long expected = generation;
        Duration taken = Fleet.await("gossip", IN_FORCE_AIM, () -> fleet.allAtGeneration(expected));
        System.out.println("generation " + generation + " by gossip after " + taken);
      }
      assertThat(fleet.platform.stats().getWaitingWatches()).isAtMost(4);
    }

    // A proxy that only its peers can reach must not keep serving with an old set.
    @Test
    void should_reach_a_proxy_that_is_cut_off_from_the_platform() {
      startReady(4);
      fleet.platform.setFaults(PlatformFaults.newBuilder().addUnavailableTo("vm-2").build());
      fleet.publish(fleet.declarations(Fleet.key("k2", false)));
      Fleet.await("generation 2", IN_FORCE_AIM, () -> fleet.allAtGeneration(2));
      assertThat(fleet.proxies.get("vm-2").isReady()).isTrue();
    }

    @Test
    void should_withdraw_a_key_everywhere_within_five_seconds() {
      startReady(5);
      fleet.publish(fleet.declarations(Fleet.key("k1", true)));
      Fleet.await("withdrawal", WITHDRAWAL_BOUND, () -> fleet.allAtGeneration(2));
    }

    @Test
    void should_serve_on_with_the_configuration_in_force_while_the_platform_is_down()
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

    // Without the platform and without peers nobody can tell whether a key was withdrawn.
    @Test
    void should_stop_serving_when_isolated_from_platform_and_peers() {
      startReady(2);
      ProxyServer isolated = fleet.proxies.get("vm-1");
      fleet.proxies.remove("vm-2").close();
      fleet.platform.setFaults(unavailable());
      Duration taken = Fleet.await("loss of trust", WITHDRAWAL_BOUND, () -> !isolated.isReady());
      assertThat(taken).isGreaterThan(Duration.ofSeconds(2));
      assertThat(fleet.page(isolated, "/ready").body())
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
    void should_gossip_over_tls_but_not_with_a_stranger() {
      fleet.useSingleDomain();
      fleet.usePeerTls(tls("peer"));
      startReady(3);
      fleet.platform.setFaults(PlatformFaults.newBuilder().addUnavailableTo("vm-1").build());
      fleet.publish(fleet.declarations(Fleet.key("k2", false)));
      Fleet.await("generation 2", IN_FORCE_AIM, () -> fleet.allAtGeneration(2));

      fleet.platform.setFaults(unavailable());
      fleet.usePeerTls(tls("stranger"));
      ProxyServer stranger = fleet.startProxy(4);
      long end = System.nanoTime() + Duration.ofSeconds(2).toNanos();
      while (System.nanoTime() - end < 0) {
        assertThat(stranger.configurationGeneration()).isEqualTo(0);
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
      Fleet.await("readiness", START_AIM, fourth::isReady);
      System.out.println(
          "ready after " + Duration.ofNanos(System.nanoTime() - start) + " within a warm process");
    }

    @Test
    void should_not_be_ready_before_anything_is_published() {
      fleet.start(2);
      ProxyServer proxy = fleet.proxies.get("vm-1");
      assertThat(fleet.page(proxy, "/ready").statusCode()).isEqualTo(503);
      assertThat(fleet.page(proxy, "/health").statusCode()).isEqualTo(200);
      fleet.publish(fleet.declarations());
      Fleet.await("readiness", IN_FORCE_AIM, fleet::allReady);
      assertThat(fleet.page(proxy, "/ready").statusCode()).isEqualTo(200);
      assertThat(fleet.page(proxy, "/metrics").body())
          .contains("oleanderstep_configuration_generation 1.0");
    }

    // A proxy that starts during an outage of the platform must not bring an old set back.
    @Test
    void should_learn_the_newest_configuration_from_peers_while_the_platform_is_down()
        throws Exception {
      startReady(4);
      fleet.publish(fleet.declarations(Fleet.key("k1", true)));
      Fleet.await("generation 2", IN_FORCE_AIM, () -> fleet.allAtGeneration(2));
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
    void should_name_the_address_that_cannot_be_served() {
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
          "first primary", IN_FORCE_AIM, () -> withoutPrimary(fleet.proxies.get("vm-1")) == 0);
      fleet.members.get(0).close();
      fleet.members.get(1).losePrimary();
      fleet.members.get(2).losePrimary();
      Duration taken =
          Fleet.await(
              "promotion",
              Duration.ofSeconds(8),
              () -> fleet.members.get(1).isPrimary() || fleet.members.get(2).isPrimary());
      System.out.println("promoted after " + taken);
      assertThat(taken).isGreaterThan(Duration.ofMillis(1_400));
      Fleet.await(
          "all proxies know the new primary",
          IN_FORCE_AIM,
          () -> fleet.proxies.values().stream().allMatch(p -> withoutPrimary(p) == 0));
    }

    // One proxy that loses its own link must not change the primary for everybody.
    @Test
    void should_not_promote_while_the_replicas_hear_the_primary() throws Exception {
      startReady(2);
      fleet.members.get(0).close();
      Thread.sleep(4_000);
      assertThat(fleet.members.get(1).isPrimary()).isFalse();
      assertThat(fleet.members.get(2).isPrimary()).isFalse();
    }

    private double withoutPrimary(ProxyServer proxy) {
      String page = fleet.page(proxy, "/metrics").body();
      return page.lines()
          .filter(line -> line.startsWith("oleanderstep_databases_without_primary "))
          .map(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
          .findFirst()
          .orElseThrow();
    }
  }

  @Nested
  class Admissions {

    // Each proxy alone would let the whole burst through.
    @Test
    void should_not_admit_more_than_rate_and_burst_over_all_proxies() {
      startReady(3);
      OrganisationId organisation = new OrganisationId("org");
      long start = System.nanoTime();
      int admitted = 0;
      for (int round = 0; round < 20; round++) {
        List<CompletableFuture<Admission>> asked = new ArrayList<>();
        for (ProxyServer proxy : fleet.proxies.values()) {
          for (int i = 0; i < 30; i++) {
            long deadline = System.nanoTime() + Duration.ofMillis(200).toNanos();
            asked.add(proxy.control().admit(organisation, deadline));
          }
        }
        for (CompletableFuture<Admission> admission : asked) {
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
      Fleet.await("primary", IN_FORCE_AIM, () -> view(control).primary().isPresent());
      return control;
    }

    private GroupView view(ControlPlane control) {
      return control.snapshot().groups().get(database);
    }

    // A position cached before the call may lack a write that another proxy acknowledged.
    @Test
    void should_prove_positions_by_requests_sent_after_the_call() {
      ControlPlane control = startWithPrimary();
      for (int index = 100; index < 150; index++) {
        fleet.members.get(0).setApplied(index);
        long asked = System.nanoTime();
        control.askMembers(database);
        Fleet.await(
            "proof", Duration.ofSeconds(3), () -> view(control).positionAsOf(asked).isPresent());
        assertThat(view(control).positionAsOf(asked))
            .isEqualTo(Optional.of(new LogPosition(1, index)));
      }
    }

    // Guards H1 of sessions without a token: an old primary that is still reachable goes on to
    // report a majority for a while after another member was promoted.
    @Test
    void should_prove_the_newer_primarys_position_while_the_old_one_still_answers() {
      ControlPlane control = startWithPrimary();
      fleet.members.get(1).becomePrimary(2, 50);
      fleet.members.get(2).promise(2);
      long asked = System.nanoTime();
      control.askMembers(database);
      Fleet.await(
          "proof", Duration.ofSeconds(3), () -> view(control).positionAsOf(asked).isPresent());
      assertThat(view(control).primary()).isEqualTo(Optional.of(new MemberId("m2")));
      assertThat(view(control).positionAsOf(asked)).isEqualTo(Optional.of(new LogPosition(2, 50)));
    }

    // What is left without the primary cannot tell what it has acknowledged.
    @Test
    void should_prove_nothing_without_the_primary() throws Exception {
      ControlPlane control = startWithPrimary();
      fleet.members.get(0).close();
      Fleet.await(
          "loss",
          Duration.ofSeconds(5),
          () -> view(control).members().stream().filter(MemberView::reachable).count() == 2);
      long asked = System.nanoTime();
      control.askMembers(database);
      Thread.sleep(1_000);
      assertThat(view(control).positionAsOf(asked)).isEqualTo(Optional.empty());
    }

    // An old primary that a proxy reaches alone must not prove anything.
    @Test
    void should_prove_nothing_without_a_majority() throws Exception {
      ControlPlane control = startWithPrimary();
      fleet.members.get(1).close();
      fleet.members.get(2).close();
      Fleet.await(
          "loss",
          Duration.ofSeconds(5),
          () -> view(control).members().stream().filter(MemberView::reachable).count() == 1);
      long asked = System.nanoTime();
      control.askMembers(database);
      Thread.sleep(1_000);
      assertThat(view(control).positionAsOf(asked)).isEqualTo(Optional.empty());
    }

    // Requests for many reads at once must not reach the members one by one.
    @Test
    void should_share_requests_between_calls_at_the_same_time() {
      ControlPlane control = startWithPrimary();
      int before = fleet.members.get(0).statusRequests();
      for (int i = 0; i < 500; i++) {
        control.askMembers(database);
      }
      long last = System.nanoTime();
      control.askMembers(database);
      Fleet.await(
          "proof", Duration.ofSeconds(3), () -> view(control).positionAsOf(last).isPresent());
      assertThat(fleet.members.get(0).statusRequests() - before).isLessThan(50);
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
