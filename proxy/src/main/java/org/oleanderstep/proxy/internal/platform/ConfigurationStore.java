package org.oleanderstep.proxy.internal.platform;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.PublishedConfiguration;

/** Reads and publishes the configuration that is stored at the platform. */
public final class ConfigurationStore {

  /** Name of the object that holds the whole configuration. */
  public static final String OBJECT_NAME = "configuration/current";

  /** A published configuration with the version of the object that holds it. */
  public record StoredConfiguration(long version, PublishedConfiguration configuration) {}

  private static final int MAX_EARLIER_IDS = 20;

  /** Generations of an era are higher than those of all earlier ones. */
  private static final int GENERATION_BITS_PER_ERA = 32;

  private final PlatformClient client;
  private final ConditionalPublisher publisher;
  private final InstantSource clock;

  /** Creates a store. */
  public ConfigurationStore(PlatformClient client, InstantSource clock) {
    this.client = client;
    this.publisher = new ConditionalPublisher(client);
    this.clock = clock;
  }

  /** Reads the published configuration; empty if nothing has been published yet. */
  public CompletableFuture<Optional<StoredConfiguration>> read() {
    return client.get(OBJECT_NAME).thenApply(object -> object.map(ConfigurationStore::parse));
  }

  /**
   * Atomically publishes declarations as the generation after the base.
   *
   * <p>If the platform has returned to an older copy, the base may be older than the configuration
   * in force. The next generation is nevertheless higher than all that were published before.
   *
   * <p>Fails with {@link PlatformException.Conflict} if another configuration was published since
   * the base was read.
   */
  public CompletableFuture<PublishedConfiguration> publish(
      Optional<StoredConfiguration> base, Declarations declarations) {
    long era = client.era();
    long baseGeneration = base.map(b -> b.configuration().getGeneration()).orElse(0L);
    PublishedConfiguration next =
        PublishedConfiguration.newBuilder()
            .setGeneration(Math.max(baseGeneration, era << GENERATION_BITS_PER_ERA) + 1)
            .setPublicationId(UUID.randomUUID().toString())
            .setDeclarations(declarations)
            .setPublishedAtMs(clock.millis())
            .addAllEarlierPublicationIds(earlierIds(base))
            .build();
    OptionalLong version =
        base.isPresent() ? OptionalLong.of(base.get().version()) : OptionalLong.empty();
    return publisher
        .publish(OBJECT_NAME, version, next.toByteString(), value -> isPublication(value, next))
        .thenApply(published -> requireEra(next, era, published));
  }

  /** Fails if the configuration was published in another era than that of its generation. */
  private static PublishedConfiguration requireEra(
      PublishedConfiguration next, long era, long published) {
    if (ObjectVersion.of(published).era() != era) {
      throw new PlatformException.Conflict(OBJECT_NAME);
    }
    return next;
  }

  private static List<String> earlierIds(Optional<StoredConfiguration> base) {
    return base.stream()
        .flatMap(
            b ->
                Stream.concat(
                    Stream.of(b.configuration().getPublicationId()),
                    b.configuration().getEarlierPublicationIdsList().stream()))
        .limit(MAX_EARLIER_IDS)
        .toList();
  }

  private static boolean isPublication(ByteString value, PublishedConfiguration published) {
    try {
      PublishedConfiguration found = PublishedConfiguration.parseFrom(value);
      String id = published.getPublicationId();
      return found.getPublicationId().equals(id)
          || found.getEarlierPublicationIdsList().contains(id);
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  /** Parses the object that holds the configuration. */
  public static StoredConfiguration parse(PlatformObject object) {
    try {
      return new StoredConfiguration(
          object.version(), PublishedConfiguration.parseFrom(object.value()));
    } catch (InvalidProtocolBufferException e) {
      throw new PlatformException.Rejected(OBJECT_NAME, 200, "the value is not a configuration");
    }
  }
}
