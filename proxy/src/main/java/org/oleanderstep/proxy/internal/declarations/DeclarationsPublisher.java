package org.oleanderstep.proxy.internal.declarations;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore.Stored;
import org.oleanderstep.proxy.internal.platform.PlatformException;
import org.oleanderstep.schema.v1.Declarations;

/**
 * Publishes a checked set of declared objects, at once or not at all.
 *
 * <pre>{@code
 * switch (publisher.publish(set, OptionalLong.empty()).join()) ...
 * }</pre>
 */
public final class DeclarationsPublisher {

  /** What became of a publication. */
  public sealed interface Result {

    /** The set is published. */
    record Published(long generation, List<ObjectChange> changes) implements Result {}

    /** The published set was the same already. */
    record Unchanged(long generation) implements Result {}

    /**
     * Another set was published first; nothing was changed.
     *
     * @param between what the other publication changed
     */
    record Conflict(long presentGeneration, List<ObjectChange> between) implements Result {}
  }

  private final ConfigurationStore store;

  /** Creates a publisher. */
  public DeclarationsPublisher(ConfigurationStore store) {
    this.store = store;
  }

  /**
   * Publishes a set as the next generation.
   *
   * @param expected generation that the operator's set is based on, if it must still be the present
   *     one
   */
  public CompletableFuture<Result> publish(Declarations set, OptionalLong expected) {
    return store.read().thenCompose(base -> publish(base, set, expected));
  }

  private CompletableFuture<Result> publish(
      Optional<Stored> base, Declarations set, OptionalLong expected) {
    long present = generation(base);
    if (expected.isPresent() && expected.getAsLong() != present) {
      // The generation that the operator expects is not stored any more; all differences are shown.
      return CompletableFuture.completedFuture(
          new Result.Conflict(present, DeclarationsDiff.between(set, declarations(base))));
    }
    List<ObjectChange> changes = DeclarationsDiff.between(declarations(base), set);
    if (base.isPresent() && changes.isEmpty()) {
      return CompletableFuture.completedFuture(new Result.Unchanged(present));
    }
    return store
        .publish(base, set)
        .<Result>thenApply(next -> new Result.Published(next.getGeneration(), changes))
        .exceptionallyCompose(failure -> explain(base, failure));
  }

  private CompletableFuture<Result> explain(Optional<Stored> base, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (!(cause instanceof PlatformException.Conflict)) {
      return CompletableFuture.failedFuture(cause);
    }
    return store
        .read()
        .thenApply(
            now ->
                new Result.Conflict(
                    generation(now),
                    DeclarationsDiff.between(declarations(base), declarations(now))));
  }

  private static long generation(Optional<Stored> stored) {
    return stored.map(s -> s.configuration().getGeneration()).orElse(0L);
  }

  private static Declarations declarations(Optional<Stored> stored) {
    return stored
        .map(s -> s.configuration().getDeclarations())
        .orElse(Declarations.getDefaultInstance());
  }
}
