package org.oleanderstep.core.scheduling;

import java.time.Duration;

/**
 * The planned end of work on a target that leaves, or of this process.
 *
 * <pre>{@code
 * DrainPlan plan = DrainPlan.start(now, Duration.ofSeconds(30));
 * DrainPlan.Rule rule = plan.rule(now, openTransactions, inFlight);
 * }</pre>
 */
public record DrainPlan(long startedAt, long endsAt) {

  /** Starts a plan. */
  public static DrainPlan start(long now, Duration drainTime) {
    return new DrainPlan(now, Math.addExact(now, drainTime.toNanos()));
  }

  /** What may still run. */
  public enum Rule {
    /** Statements of open transactions run; new work is refused. */
    TRANSACTIONS_ONLY,
    /** No statement starts; the transactions are rolled back, what is in flight ends. */
    IN_FLIGHT_ONLY,
    /** Nothing is left; the connections may be closed. */
    DONE
  }

  /**
   * Returns what may run now.
   *
   * @param openTransactions transactions that have not ended
   * @param inFlight statements that were sent and not answered
   */
  public Rule rule(long now, int openTransactions, int inFlight) {
    if (openTransactions == 0 && inFlight == 0) {
      return Rule.DONE;
    }
    return now - endsAt < 0 && openTransactions > 0 ? Rule.TRANSACTIONS_ONLY : Rule.IN_FLIGHT_ONLY;
  }
}
