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

/** The published configuration at the platform. */
public final class ConfigurationStore {

  /** Name of the object that holds the whole set. */
  public static final String OBJECT = "configuration/current";

  /** A published set with the version of the object that holds it. */
  public record Stored(long version, PublishedConfiguration configuration) {}

  private static final int MAX_EARLIER_IDS = 20;

  private final PlatformClient client;
  private final ConditionalPublisher publisher;
  private final InstantSource clock;

  /** Creates a store. */
  public ConfigurationStore(PlatformClient client, InstantSource clock) {
    this.client = client;
    this.publisher = new ConditionalPublisher(client);
    this.clock = clock;
  }

  /** Reads the published set; empty if nothing was published yet. */
  public CompletableFuture<Optional<Stored>> read() {
    return client.get(OBJECT).thenApply(object -> object.map(ConfigurationStore::parse));
  }

  /**
   * Publishes a set as the generation after the base, at once or not at all.
   *
   * <p>Fails with {@link PlatformException.Conflict} if another set was published since the base
   * was read.
   */
  public CompletableFuture<PublishedConfiguration> publish(
      Optional<Stored> base, Declarations declarations) {
    long held = base.map(b -> b.configuration().getGeneration()).orElse(0L);
    PublishedConfiguration next =
        PublishedConfiguration.newBuilder()
            .setGeneration(held + 1)
            .setPublicationId(UUID.randomUUID().toString())
            .setDeclarations(declarations)
            .setPublishedAtMs(clock.millis())
            .addAllEarlierPublicationIds(earlierIds(base))
            .build();
    OptionalLong version =
        base.isPresent() ? OptionalLong.of(base.get().version()) : OptionalLong.empty();
    return publisher
        .publish(OBJECT, version, next.toByteString(), value -> isPublication(value, next))
        .thenApply(ignored -> next);
  }

  private static List<String> earlierIds(Optional<Stored> base) {
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

  /** Parses the value of the object. */
  public static Stored parse(PlatformObject object) {
    try {
      return new Stored(object.version(), PublishedConfiguration.parseFrom(object.value()));
    } catch (InvalidProtocolBufferException e) {
      throw new PlatformException.Rejected(OBJECT, 200, "the value is not a configuration");
    }
  }
}
