package org.oleanderstep.proxy.internal.platform;

import com.google.protobuf.ByteString;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Creates or replaces an object by a conditional update. If the response is lost, reads the object
 * again to determine whether the update took effect.
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
   * PlatformException.Unavailable} if the platform does not respond, so that the outcome of the
   * update is unknown.
   *
   * @param base version that the value is based on; empty if the object must not exist yet
   * @param isOwnPublication tests whether a value read back is the published one, by its random
   *     publication id
   */
  public CompletableFuture<Long> publish(
      String name, OptionalLong base, ByteString value, Predicate<ByteString> isOwnPublication) {
    return update(name, base, value)
        .exceptionallyCompose(
            failure -> resolveOutcome(name, base, value, isOwnPublication, failure));
  }

  private CompletableFuture<Long> update(String name, OptionalLong base, ByteString value) {
    return base.isPresent()
        ? client.replace(name, base.getAsLong(), value)
        : client.create(name, value);
  }

  /**
   * Reads the object again after a failed update. A conflict may be with an earlier attempt of this
   * update whose response was lost, so it is resolved in the same way as a missing response.
   */
  private CompletableFuture<Long> resolveOutcome(
      String name,
      OptionalLong base,
      ByteString value,
      Predicate<ByteString> isOwnPublication,
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
              if (found.isPresent() && isOwnPublication.test(found.get().value())) {
                return CompletableFuture.completedFuture(found.get().version());
              }
              OptionalLong currentVersion =
                  found.isPresent() ? OptionalLong.of(found.get().version()) : OptionalLong.empty();
              if (conflict || !currentVersion.equals(base)) {
                return CompletableFuture.failedFuture(new PlatformException.Conflict(name));
              }
              // The update had not taken effect when the object was read, but it may still be in
              // flight. Retrying is safe only because the update is conditional.
              return update(name, base, value)
                  .exceptionallyCompose(
                      retryFailure ->
                          resolveOutcomeWithoutRetry(name, isOwnPublication, retryFailure));
            });
  }

  private CompletableFuture<Long> resolveOutcomeWithoutRetry(
      String name, Predicate<ByteString> isOwnPublication, Throwable failure) {
    Throwable cause = PlatformClient.rootCause(failure);
    if (!(cause instanceof PlatformException.Conflict)
        && !(cause instanceof PlatformException.Unavailable)) {
      return CompletableFuture.failedFuture(cause);
    }
    return client
        .get(name)
        .thenCompose(
            found ->
                found.isPresent() && isOwnPublication.test(found.get().value())
                    ? CompletableFuture.completedFuture(found.get().version())
                    : CompletableFuture.failedFuture(cause));
  }
}
