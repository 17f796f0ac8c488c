package org.oleanderstep.proxy.internal.platform;

import com.google.protobuf.ByteString;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Replaces an object by one conditional update, and finds out what became of an update whose answer
 * was lost.
 *
 * <pre>{@code
 * publisher.publish("shares/current", OptionalLong.of(17), value, v -> publicationId(v).equals(id));
 * }</pre>
 */
public final class ConditionalPublisher {

  private final PlatformClient client;

  /** Creates a publisher. */
  public ConditionalPublisher(PlatformClient client) {
    this.client = client;
  }

  /**
   * Publishes a value and returns its version.
   *
   * <p>Fails with {@link PlatformException.Conflict} if another update came first, and with {@link
   * PlatformException.Unavailable} if the platform cannot be asked what became of the update.
   *
   * @param base version that the value is based on; empty if the object must not exist yet
   * @param isOwn whether a value read back is the published one, by its random publication id
   */
  public CompletableFuture<Long> publish(
      String name, OptionalLong base, ByteString value, Predicate<ByteString> isOwn) {
    return update(name, base, value)
        .exceptionallyCompose(failure -> resolve(name, base, value, isOwn, failure));
  }

  private CompletableFuture<Long> update(String name, OptionalLong base, ByteString value) {
    return base.isPresent()
        ? client.replace(name, base.getAsLong(), value)
        : client.create(name, value);
  }

  /**
   * Rereads the object after a failed update. A conflict may be with an earlier attempt of this
   * update whose answer was lost, so it is resolved in the same way as a missing answer.
   */
  private CompletableFuture<Long> resolve(
      String name,
      OptionalLong base,
      ByteString value,
      Predicate<ByteString> isOwn,
      Throwable failure) {
    Throwable cause = PlatformClient.rootCause(failure);
    boolean conflict = cause instanceof PlatformException.Conflict;
    if (!conflict && !(cause instanceof PlatformException.Unavailable)) {
      return CompletableFuture.failedFuture(cause);
    }
    return client
        .get(name)
        .thenCompose(
            found -> {
              if (found.isPresent() && isOwn.test(found.get().value())) {
                return CompletableFuture.completedFuture(found.get().version());
              }
              OptionalLong present =
                  found.isPresent() ? OptionalLong.of(found.get().version()) : OptionalLong.empty();
              if (conflict || !present.equals(base)) {
                return CompletableFuture.failedFuture(new PlatformException.Conflict(name));
              }
              // The update had no effect when the object was read. It may still be on its way, so
              // repeating it is safe only because of its condition.
              return update(name, base, value)
                  .exceptionallyCompose(again -> resolveOnce(name, isOwn, again));
            });
  }

  private CompletableFuture<Long> resolveOnce(
      String name, Predicate<ByteString> isOwn, Throwable failure) {
    Throwable cause = PlatformClient.rootCause(failure);
    if (!(cause instanceof PlatformException.Conflict)
        && !(cause instanceof PlatformException.Unavailable)) {
      return CompletableFuture.failedFuture(cause);
    }
    return client
        .get(name)
        .thenCompose(
            found ->
                found.isPresent() && isOwn.test(found.get().value())
                    ? CompletableFuture.completedFuture(found.get().version())
                    : CompletableFuture.failedFuture(cause));
  }
}
