package org.oleanderstep.core.scheduling;

import java.time.Duration;

/**
 * Decides what may still run while a target leaves or this process shuts down.
 *
 * <pre>{@code
 * DrainPlan plan = DrainPlan.start(now, Duration.ofSeconds(30));
 * if (!plan.phase(now, openTransactions, inFlight).allowsTransactionStatements()) rollBack();
 * }</pre>
 *
 * <p>A request that was accepted before the drain started counts as in flight, even while it is
 * queued, so that a planned shutdown interrupts no request.
 *
 * @param startedAt time at which the drain started
 * @param transactionDeadline time after which open transactions are rolled back
 */
public record DrainPlan(long startedAt, long transactionDeadline) {

  /** Starts a drain that gives open transactions the drain time to end. */
  public static DrainPlan start(long now, Duration drainTime) {
    if (drainTime.isNegative()) {
      throw new IllegalArgumentException("drain time must not be negative: " + drainTime);
    }
    return new DrainPlan(now, now + drainTime.toNanos());
  }

  /** The phases of a drain, each with what may still run. */
  public enum Phase {
    /** Open transactions may run further statements; new work is refused. */
    TRANSACTIONS_AND_IN_FLIGHT(true, false),
    /** No statement starts; open transactions are rolled back and requests in flight complete. */
    IN_FLIGHT_ONLY(false, false),
    /** No transaction is open and no request is in flight; connections may be closed. */
    DONE(false, true);

    private final boolean transactionStatements;
    private final boolean close;

    Phase(boolean transactionStatements, boolean close) {
      this.transactionStatements = transactionStatements;
      this.close = close;
    }

    /** Returns whether an open transaction may run its next statement. */
    public boolean allowsTransactionStatements() {
      return transactionStatements;
    }

    /** Returns whether connections may be closed and the process may stop. */
    public boolean allowsClose() {
      return close;
    }
  }

  /**
   * Returns the current phase.
   *
   * @param openTransactions number of transactions that have not ended
   * @param inFlight number of requests that were accepted and not yet answered
   */
  public Phase phase(long now, int openTransactions, int inFlight) {
    if (openTransactions == 0 && inFlight == 0) {
      return Phase.DONE;
    }
    if (openTransactions > 0 && now - transactionDeadline < 0) {
      return Phase.TRANSACTIONS_AND_IN_FLIGHT;
    }
    return Phase.IN_FLIGHT_ONLY;
  }
}
