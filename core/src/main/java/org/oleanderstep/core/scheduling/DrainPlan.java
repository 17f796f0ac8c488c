package org.oleanderstep.core.scheduling;

import java.time.Duration;

/**
 * The planned end of work on a target that leaves, or of this process.
 *
 * <pre>{@code
 * DrainPlan plan = DrainPlan.start(now, Duration.ofSeconds(30));
 * if (!plan.rule(now, openTransactions, inFlight).allowsStatementOfTransaction()) rollBack();
 * }</pre>
 *
 * <p>A request that was accepted before the plan started counts as in flight, also while it waits
 * in a queue, so that a planned shutdown interrupts none.
 */
public record DrainPlan(long startedAt, long endsAt) {

  /** Starts a plan. */
  public static DrainPlan start(long now, Duration drainTime) {
    if (drainTime.isNegative()) {
      throw new IllegalArgumentException("drain time must not be negative: " + drainTime);
    }
    return new DrainPlan(now, now + drainTime.toNanos());
  }

  /** What may still run. */
  public enum Rule {
    /** Statements of open transactions run; new work is refused. */
    TRANSACTIONS_AND_IN_FLIGHT(true, false),
    /** No statement starts; open transactions are rolled back, what is in flight ends. */
    IN_FLIGHT_ONLY(false, false),
    /** Nothing is left; the connections may be closed. */
    DONE(false, true);

    private final boolean statementOfTransaction;
    private final boolean close;

    Rule(boolean statementOfTransaction, boolean close) {
      this.statementOfTransaction = statementOfTransaction;
      this.close = close;
    }

    /** Returns whether an open transaction may run its next statement. */
    public boolean allowsStatementOfTransaction() {
      return statementOfTransaction;
    }

    /** Returns whether connections may be closed and the process may stop. */
    public boolean allowsClose() {
      return close;
    }
  }

  /**
   * Returns what may run now.
   *
   * @param openTransactions transactions that have not ended
   * @param inFlight requests that were accepted and not answered
   */
  public Rule rule(long now, int openTransactions, int inFlight) {
    if (openTransactions == 0 && inFlight == 0) {
      return Rule.DONE;
    }
    if (openTransactions > 0 && now - endsAt < 0) {
      return Rule.TRANSACTIONS_AND_IN_FLIGHT;
    }
    return Rule.IN_FLIGHT_ONLY;
  }
}
