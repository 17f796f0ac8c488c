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

  private final MemberTraffic owner;
  private final OrganisationId organisation;
  private final TargetConnection connection;
  private final boolean primary;
  private final long term;
  private final LogPosition atLeast;
  private final String incarnation;
  private final AtomicBoolean released = new AtomicBoolean();
  private final AtomicBoolean counted = new AtomicBoolean(true);
  private volatile long startedNanos = System.nanoTime();

  Lease(MemberTraffic owner, LeaseRequest request, TargetConnection connection, boolean primary) {
    this.owner = owner;
    this.organisation = request.organisation();
    this.connection = connection;
    this.primary = primary;
    this.term = request.term();
    this.atLeast = request.atLeast();
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
   * Returns whether the member's last answer is from the incarnation that it was chosen by and from
   * data that has the position required of it. An answer without a position counts as fresh.
   */
  public boolean isAnswerFresh() {
    return connection.position().map(this::isFresh).orElse(true);
  }

  private boolean isFresh(GroupPosition answered) {
    boolean sameIncarnation = incarnation.isEmpty() || incarnation.equals(answered.incarnation());
    return sameIncarnation && answered.position().compareTo(atLeast) >= 0;
  }

  OrganisationId organisation() {
    return organisation;
  }

  /** Takes note that another statement of a transaction starts. */
  public void startStatement() {
    startedNanos = System.nanoTime();
    counted.set(owner.tryStart());
  }

  /** Takes note that a statement has ended while the connection is kept. */
  public void endStatement(boolean dropped) {
    if (counted.compareAndSet(true, false)) {
      owner.endStatement(System.nanoTime() - startedNanos, dropped);
    }
  }

  /** Gives the connection back; it is reset, or closed if its state is uncertain. */
  public void release() {
    if (released.compareAndSet(false, true)) {
      endStatement(connection.isLost());
      owner.takeBack(this);
    }
  }
}
