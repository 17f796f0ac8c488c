package org.oleanderstep.proxy.internal.target;

import java.util.concurrent.atomic.AtomicBoolean;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.position.LogPosition;

/**
 * The exclusive use of a target connection by one request, cursor or transaction.
 *
 * <p>Must be released exactly once; further releases have no effect.
 */
public final class Lease {

  private final MemberPool pool;
  private final OrganisationId organisation;
  private final TargetConnection connection;
  private final boolean primary;
  private final long term;
  private final LogPosition requiredPosition;
  private final String incarnation;
  private final AtomicBoolean released = new AtomicBoolean();
  private final AtomicBoolean occupiesSlot = new AtomicBoolean(true);
  private volatile long statementStartNanos = System.nanoTime();

  Lease(MemberPool pool, LeaseRequest request, TargetConnection connection, boolean primary) {
    this.pool = pool;
    this.organisation = request.organisation();
    this.connection = connection;
    this.primary = primary;
    this.term = request.term();
    this.requiredPosition = request.requiredPosition();
    this.incarnation = request.incarnation();
  }

  /** Returns the connection. */
  public TargetConnection connection() {
    return connection;
  }

  /** Returns whether the member was the primary when the lease was granted. */
  public boolean isPrimary() {
    return primary;
  }

  /** Returns the highest term that was known when the lease was granted. */
  public long term() {
    return term;
  }

  /**
   * Returns whether the member's last response came from the incarnation for which the member was
   * chosen and after it had applied the required position. A response without a position counts as
   * fresh.
   */
  public boolean isResponseFresh() {
    return connection.lastPosition().map(this::isFresh).orElse(true);
  }

  private boolean isFresh(GroupPosition responsePosition) {
    boolean sameIncarnation =
        incarnation.isEmpty() || incarnation.equals(responsePosition.incarnation());
    return sameIncarnation && responsePosition.position().compareTo(requiredPosition) >= 0;
  }

  OrganisationId organisation() {
    return organisation;
  }

  /** Records the start of a further statement on the connection, as in a transaction. */
  public void startStatement() {
    statementStartNanos = System.nanoTime();
    occupiesSlot.set(pool.tryStartStatement());
  }

  /**
   * Records the end of a statement while the connection stays leased; frees its concurrency slot.
   *
   * @param dropped whether the statement ended without a response, which lowers the concurrency
   *     limit
   */
  public void endStatement(boolean dropped) {
    if (occupiesSlot.compareAndSet(true, false)) {
      pool.endStatement(System.nanoTime() - statementStartNanos, dropped);
    }
  }

  /** Returns the connection to its pool, where it is reset, or closed if its state is uncertain. */
  public void release() {
    if (released.compareAndSet(false, true)) {
      endStatement(connection.isResponseLost());
      pool.release(this);
    }
  }
}
