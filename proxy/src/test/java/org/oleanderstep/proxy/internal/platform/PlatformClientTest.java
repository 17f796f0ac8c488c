package org.oleanderstep.proxy.internal.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderstep.schema.v1.PlatformFaults;
import org.oleanderstep.schema.v1.PlatformSettings;
import org.oleanderstep.standins.platform.PlatformServer;

class PlatformClientTest {

  private static final ByteString ONE = ByteString.copyFromUtf8("one");
  private static final ByteString TWO = ByteString.copyFromUtf8("two");

  private PlatformServer platform;
  private PlatformClient clientWithoutRetries;

  @BeforeEach
  void startPlatform() {
    platform =
        PlatformServer.start(PlatformSettings.newBuilder().setAddress("127.0.0.1:0").build());
    clientWithoutRetries = client(RetrySettings.NONE);
  }

  @AfterEach
  void stopPlatform() {
    platform.close();
  }

  private PlatformClient client(RetrySettings retries) {
    return new PlatformClient(platform.url(), Duration.ofSeconds(1), retries, "test");
  }

  private static void assertFailsWith(
      Class<? extends PlatformException> type, org.junit.jupiter.api.function.Executable call) {
    assertThat(assertThrows(CompletionException.class, call)).hasCauseThat().isInstanceOf(type);
  }

  @Test
  void should_report_failures_by_type() {
    long version = clientWithoutRetries.create("a", ONE).join();
    assertFailsWith(
        PlatformException.Conflict.class, () -> clientWithoutRetries.create("a", TWO).join());
    assertFailsWith(
        PlatformException.Conflict.class,
        () -> clientWithoutRetries.replace("a", version + 1, TWO).join());
    byte[] large = new byte[PlatformServer.MAX_VALUE_BYTES + 1];
    assertFailsWith(
        PlatformException.Rejected.class,
        () -> clientWithoutRetries.replace("a", version, ByteString.copyFrom(large)).join());
    assertThat(clientWithoutRetries.get("absent").join()).isEmpty();
    platform.setFaults(PlatformFaults.newBuilder().setUnavailable(true).build());
    assertFailsWith(
        PlatformException.Unavailable.class, () -> clientWithoutRetries.get("a").join());
  }

  @Test
  void should_retry_unanswered_calls_only_within_the_budget() {
    platform.setFaults(PlatformFaults.newBuilder().setUnavailable(true).build());
    PlatformClient retryingClient =
        client(
            new RetrySettings(
                Duration.ofMillis(400), Duration.ofMillis(20), Duration.ofMillis(100)));
    long start = System.nanoTime();
    assertFailsWith(PlatformException.Unavailable.class, () -> retryingClient.get("a").join());
    assertThat(System.nanoTime() - start).isAtLeast(400_000_000L);
    assertThat(platform.stats().getReads()).isAtLeast(3);
    assertThat(platform.stats().getReads()).isAtMost(30);
  }

  @Test
  void should_detect_that_an_update_with_a_lost_response_took_effect() {
    long version = clientWithoutRetries.create("a", ONE).join();
    platform.setFaults(PlatformFaults.newBuilder().setLoseAnswers(1).build());
    new ConditionalPublisher(clientWithoutRetries)
        .publish("a", OptionalLong.of(version), TWO, TWO::equals)
        .join();
    assertThat(clientWithoutRetries.get("a").join().orElseThrow().value()).isEqualTo(TWO);
    assertThat(platform.stats().getUpdates()).isEqualTo(2);
  }

  // A retry finds the version that its own first attempt created.
  @Test
  void should_not_report_a_conflict_with_its_own_earlier_attempt() {
    long version = clientWithoutRetries.create("a", ONE).join();
    platform.setFaults(PlatformFaults.newBuilder().setLoseAnswers(1).build());
    long published =
        new ConditionalPublisher(client(RetrySettings.INTERACTIVE))
            .publish("a", OptionalLong.of(version), TWO, TWO::equals)
            .join();
    assertThat(published).isGreaterThan(version);
  }

  @Test
  void should_report_a_conflict_with_another_update() {
    long version = clientWithoutRetries.create("a", ONE).join();
    clientWithoutRetries.replace("a", version, ByteString.copyFromUtf8("other")).join();
    assertFailsWith(
        PlatformException.Conflict.class,
        () ->
            new ConditionalPublisher(clientWithoutRetries)
                .publish("a", OptionalLong.of(version), TWO, TWO::equals)
                .join());
  }

  // Another value has the version that was read before the platform returned to a copy.
  @Test
  void should_refuse_an_update_that_is_based_on_an_earlier_era() {
    clientWithoutRetries.create("a", ONE).join();
    platform.copy();
    long version = clientWithoutRetries.create("b", ONE).join();
    platform.restore();
    client(RetrySettings.NONE).create("b", TWO).join();
    assertThat(clientWithoutRetries.get("a").join()).isPresent();

    assertFailsWith(
        PlatformException.Conflict.class,
        () -> clientWithoutRetries.replace("b", version, ONE).join());
    assertFailsWith(
        PlatformException.Conflict.class, () -> clientWithoutRetries.delete("b", version).join());
    assertThat(clientWithoutRetries.get("b").join().orElseThrow().value()).isEqualTo(TWO);
  }

  // The client has had no contact since, and the version that it holds exists again.
  @Test
  void should_see_a_value_with_a_version_that_was_given_out_again() {
    platform.copy();
    long version = clientWithoutRetries.create("a", ONE).join();
    platform.restore();
    client(RetrySettings.NONE).create("a", TWO).join();

    WatchResult result = clientWithoutRetries.watch("a", version, Duration.ofMillis(200)).join();

    assertThat(((WatchResult.Changed) result).object().value()).isEqualTo(TWO);
    assertThat(((WatchResult.Changed) result).object().version()).isGreaterThan(version);
    assertThat(clientWithoutRetries.era()).isEqualTo(1);
  }

  @Test
  void should_end_a_waiting_watch_when_the_platform_returns_to_a_copy() {
    platform.copy();
    long version = clientWithoutRetries.create("a", ONE).join();
    CompletableFuture<WatchResult> watch =
        clientWithoutRetries.watch("a", version, Duration.ofSeconds(20));
    while (platform.stats().getWaitingWatches() == 0) {
      Thread.onSpinWait();
    }

    platform.restore();

    assertThat(watch.orTimeout(5, TimeUnit.SECONDS).join()).isInstanceOf(WatchResult.Deleted.class);
  }

  @Test
  void should_report_versions_that_rise_over_all_eras() {
    platform.copy();
    long first = clientWithoutRetries.create("a", ONE).join();
    platform.restore();
    long second = clientWithoutRetries.create("a", ONE).join();

    assertThat(second).isGreaterThan(first);
    assertThat(ObjectVersion.of(second).number()).isEqualTo(ObjectVersion.of(first).number());
  }
}
