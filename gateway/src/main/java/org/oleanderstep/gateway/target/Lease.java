package org.oleanderstep.gateway.target;

import java.time.Duration;
import java.util.Optional;
import org.oleanderstep.core.position.LogPosition;

/**
 * A connection that is leased to a statement or a transaction.
 *
 * @param connection the connection; return it with {@link ServicePool#release}
 * @param requiredPosition position that the member's log must include; empty if the member must
 *     instead confirm that it is the primary
 * @param timeSinceReached how long ago the primary is known to have reached that position
 */
public record Lease(
    PooledConnection connection,
    Optional<LogPosition> requiredPosition,
    Duration timeSinceReached) {

  /** Returns whether statements on this lease must confirm that the member is the primary. */
  public boolean mustConfirmPrimary() {
    return requiredPosition.isEmpty();
  }
}
