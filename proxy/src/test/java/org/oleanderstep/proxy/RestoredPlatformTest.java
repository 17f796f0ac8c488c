package org.oleanderstep.proxy;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.platform.PlatformException;
import org.oleanderstep.proxy.internal.platform.PlatformObject;
import org.oleanderstep.proxy.internal.platform.RetrySettings;
import org.oleanderstep.schema.v1.PublishedConfiguration;
import org.oleanderstep.schema.v1.ShareTable;

/** Proxies whose platform returns to an older copy. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RestoredPlatformTest {

  private static final Duration LIMIT = Duration.ofSeconds(10);

  @TempDir private Path directory;
  private Fleet fleet;
  private PlatformClient client;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new Fleet(directory);
    client =
        new PlatformClient(
            fleet.platform.url(), Duration.ofSeconds(2), RetrySettings.NONE, "operator");
    fleet.publish(fleet.declarations(Fleet.key("k1", false)));
    fleet.start(5);
    Fleet.await("readiness", LIMIT, fleet::allReady);
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  /** Publishes as an operator who applies again after a conflict with what was written back. */
  private PublishedConfiguration apply(boolean withdrawn) {
    while (true) {
      try {
        return fleet.publish(fleet.declarations(Fleet.key("k1", withdrawn)));
      } catch (CompletionException e) {
        assertThat(e).hasCauseThat().isInstanceOf(PlatformException.Conflict.class);
      }
    }
  }

  private long publish(boolean withdrawn) {
    PublishedConfiguration published = apply(withdrawn);
    Fleet.await("configuration", LIMIT, () -> fleet.allAtGeneration(published.getGeneration()));
    return published.getGeneration();
  }

  private long storedGeneration() {
    return new ConfigurationStore(client, InstantSource.system())
        .read()
        .join()
        .map(stored -> stored.configuration().getGeneration())
        .orElse(0L);
  }

  private long storedShares() {
    Optional<PlatformObject> stored = client.get("shares/current").join();
    try {
      return stored.isEmpty() ? 0 : ShareTable.parseFrom(stored.get().value()).getVersion();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  // The withdrawal of a key is lost at the platform. A proxy that starts later reads it from there.
  @Test
  void should_write_the_configuration_in_force_back() {
    fleet.platform.copy();
    long withdrawal = publish(true);

    fleet.platform.restore();

    Fleet.await("write", LIMIT, () -> storedGeneration() == withdrawal);
    assertThat(fleet.allAtGeneration(withdrawal)).isTrue();
    Fleet.awaitStable("readiness", Duration.ofSeconds(2), LIMIT, fleet::allReady);
  }

  // Proxies ignore generations that they have seen, so a generation must not be given out again.
  @Test
  void should_apply_what_is_published_after_the_platform_returned_to_a_copy() {
    for (int round = 0; round < 3; round++) {
      fleet.platform.copy();
      long lost = publish(true);

      fleet.platform.restore();
      long next = publish(false);

      assertThat(next).isGreaterThan(lost);
    }
  }

  @Test
  void should_create_the_objects_that_the_copy_lacks() {
    long generation = storedGeneration();
    long shares = storedShares();
    client.delete("configuration/current", version("configuration/current")).join();
    client.delete("shares/current", version("shares/current")).join();

    Fleet.await("configuration", LIMIT, () -> storedGeneration() == generation);
    Fleet.await("share table", LIMIT, () -> storedShares() == shares);
  }

  private long version(String object) {
    return client.get(object).join().orElseThrow().version();
  }

  // The proxy reads the older configuration before the newer one is written back.
  @Test
  void should_not_serve_with_an_older_configuration_on_a_proxy_that_starts() {
    fleet.platform.copy();
    long withdrawal = publish(true);
    fleet.platform.restore();

    ProxyServer late = fleet.startProxy(6);
    Fleet.await("readiness", LIMIT, late::isReady);

    assertThat(late.configurationGeneration()).isEqualTo(withdrawal);
  }
}
