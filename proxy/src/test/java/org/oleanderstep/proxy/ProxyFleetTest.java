package org.oleanderstep.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.schema.v1.PlatformFaults;

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
      RuntimeException failure =
          org.junit.jupiter.api.Assertions.assertThrows(RuntimeException.class, second::start);
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
