package org.oleanderstep.proxy.internal.declarations;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore.StoredConfiguration;
import org.oleanderstep.proxy.internal.platform.PlatformException;
import org.oleanderstep.schema.v1.Declarations;

/**
 * Atomically publishes checked declarations as a new generation of the configuration.
 *
 * <pre>{@code
 * switch (publisher.publish(declarations, OptionalLong.empty()).join()) ...
 * }</pre>
 */
public final class DeclarationsPublisher {

  /** Outcome of a publication. */
  public sealed interface Result {

    /** The declarations were published. */
    record Published(long generation, List<ObjectChange> changes) implements Result {}

    /** The published declarations are already the same. */
    record Unchanged(long generation) implements Result {}

    /**
     * Other declarations were published in the meantime; nothing was changed.
     *
     * @param interveningChanges what the other publication changed
     */
    record Conflict(long currentGeneration, List<ObjectChange> interveningChanges)
        implements Result {}
  }

  private final ConfigurationStore store;

  /** Creates a publisher. */
  public DeclarationsPublisher(ConfigurationStore store) {
    this.store = store;
  }

  /**
   * Publishes declarations as the next generation.
   *
   * @param expectedGeneration generation that the operator's declarations are based on, if it must
   *     still be the current one
   */
  public CompletableFuture<Result> publish(
      Declarations declarations, OptionalLong expectedGeneration) {
    return store.read().thenCompose(base -> publish(base, declarations, expectedGeneration));
  }

  private CompletableFuture<Result> publish(
      Optional<StoredConfiguration> base,
      Declarations declarations,
      OptionalLong expectedGeneration) {
    long currentGeneration = generation(base);
    if (expectedGeneration.isPresent() && expectedGeneration.getAsLong() != currentGeneration) {
      // The generation that the operator expects is no longer stored, so all differences are
      // listed.
      return CompletableFuture.completedFuture(
          new Result.Conflict(
              currentGeneration, DeclarationsDiff.between(declarations, declarations(base))));
    }
    List<ObjectChange> changes = DeclarationsDiff.between(declarations(base), declarations);
    if (base.isPresent() && changes.isEmpty()) {
      return CompletableFuture.completedFuture(new Result.Unchanged(currentGeneration));
    }
    return store
        .publish(base, declarations)
        .<Result>thenApply(next -> new Result.Published(next.getGeneration(), changes))
        .exceptionallyCompose(failure -> toConflictResult(base, failure));
  }

  private CompletableFuture<Result> toConflictResult(
      Optional<StoredConfiguration> base, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (!(cause instanceof PlatformException.Conflict)) {
      return CompletableFuture.failedFuture(cause);
    }
    return store
        .read()
        .thenApply(
            current ->
                new Result.Conflict(
                    generation(current),
                    DeclarationsDiff.between(declarations(base), declarations(current))));
  }

  private static long generation(Optional<StoredConfiguration> stored) {
    return stored.map(s -> s.configuration().getGeneration()).orElse(0L);
  }

  private static Declarations declarations(Optional<StoredConfiguration> stored) {
    return stored
        .map(s -> s.configuration().getDeclarations())
        .orElse(Declarations.getDefaultInstance());
  }
}
