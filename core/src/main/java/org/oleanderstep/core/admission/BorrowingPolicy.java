package org.oleanderstep.core.admission;

import java.time.Duration;

/**
 * How persistently a VM borrows tokens for operations that wait.
 *
 * <p>With {@link #RESERVE_FOR_OTHERS}, a request that is not answered within an exchange is
 * replaced by one to another lender, a VM that does not answer is avoided for all organisations and
 * only briefly at first, operations wait for the next tokens of the lenders if these come in time,
 * and tokens that arrive in excess are given back to their lender.
 *
 * @param overdueAfter age from which an unanswered request is no longer expected to be granted
 * @param firstBackoff time for which a VM that did not answer is not asked again
 * @param maxBackoff upper limit of that time, which doubles with each further request that the VM
 *     does not answer
 * @param awaitsLenders whether operations wait for the tokens that lenders are going to have
 */
public record BorrowingPolicy(
    Duration overdueAfter, Duration firstBackoff, Duration maxBackoff, boolean awaitsLenders) {

  /** Asks another lender late, and refuses what no lender can serve at the moment. */
  public static final BorrowingPolicy STANDARD =
      new BorrowingPolicy(
          Duration.ofMillis(40), Duration.ofSeconds(1), Duration.ofSeconds(1), false);

  /**
   * Serves an organisation inside its rate wherever its tokens are. An operation with a target of
   * 100 ms may wait for 40 ms; a lender that has not answered after 10 ms leaves time for a second
   * exchange.
   */
  public static final BorrowingPolicy RESERVE_FOR_OTHERS =
      new BorrowingPolicy(
          Duration.ofMillis(10), Duration.ofMillis(50), Duration.ofSeconds(2), true);

  /** Checks that the times are positive and ordered. */
  public BorrowingPolicy {
    if (overdueAfter.isNegative()
        || overdueAfter.isZero()
        || firstBackoff.isNegative()
        || firstBackoff.compareTo(maxBackoff) > 0) {
      throw new IllegalArgumentException(
          "invalid times: " + overdueAfter + ", " + firstBackoff + ", " + maxBackoff);
    }
  }

  /** Returns the policy of a VM that keeps tokens for others, or not. */
  public static BorrowingPolicy of(boolean reserveForOthers) {
    return reserveForOthers ? RESERVE_FOR_OTHERS : STANDARD;
  }
}
