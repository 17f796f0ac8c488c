package org.oleanderstep.core.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * What a route allows its reads.
 *
 * @param maxAge reads must show everything that was committed this long before they arrived; empty
 *     if only the session's own need counts
 * @param maxWait longest time a read waits for a replica to catch up
 */
public record ReadRule(Optional<Duration> maxAge, Duration maxWait) {

  /** Reads that see at least what their session wrote, and wait at most 20 ms for a replica. */
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
