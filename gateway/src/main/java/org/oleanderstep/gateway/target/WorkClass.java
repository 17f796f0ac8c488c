package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.Optional;

/**
 * What is known of the work of a request's statements before they run: statements of one route
 * differ less than those of different routes.
 *
 * @param priority the priority of the request
 * @param maxStaleness the maximum age of the state that it may read
 */
record WorkClass(int priority, Optional<Duration> maxStaleness) {

  /** The commands of the proxy itself. */
  static final WorkClass PROXY = new WorkClass(-1, Optional.empty());

  /**
   * A kind of statement whose latencies are compared.
   *
   * @param command the type of the command
   * @param mayWrite whether it may write
   */
  record Kind(WorkClass work, Class<? extends TargetCommand> command, boolean mayWrite) {}

  /** Returns the kind of a statement of this class, prepared or not. */
  Kind kind(TargetCommand command, boolean mayWrite) {
    boolean prepared = command instanceof TargetCommand.Execute;
    return new Kind(this, prepared ? TargetCommand.Run.class : command.getClass(), mayWrite);
  }

  /** Returns the kind of the reads of this class. */
  Kind reads() {
    return new Kind(this, TargetCommand.Run.class, false);
  }
}
