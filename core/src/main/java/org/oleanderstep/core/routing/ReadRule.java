package org.oleanderstep.core.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * Limits for the reads of a route: the age of the data and the wait for a replica.
 *
 * @param maxAge reads must see all writes that were committed at least this long before they
 *     arrived; empty if only the requirement of their session applies
 * @param maxWait maximum time that a read waits for a replica to catch up
 */
public record ReadRule(Optional<Duration> maxAge, Duration maxWait) {

  /** Reads see the writes of their own session and wait at most 20 ms for a replica. */
  public static final ReadRule SESSION = new ReadRule(Optional.empty(), Duration.ofMillis(20));

  /** Checks that no time is negative. */
  public ReadRule {
    if (maxAge.isPresent() && maxAge.get().isNegative()) {
      throw new IllegalArgumentException("maxAge must not be negative: " + maxAge.get());
    }
    if (maxWait.isNegative()) {
      throw new IllegalArgumentException("maxWait must not be negative: " + maxWait);
    }
  }
}
