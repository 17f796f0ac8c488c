package org.oleanderstep.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tokens of one organisation that this VM lent to others lately.
 *
 * <p>They count against the cap of the lender for as long as the borrower may still use them, so
 * that the tokens of all VMs never exceed the burst.
 */
final class TokenLoans {

  private record Loan(int tokens, long lentAt) {}

  private final Deque<Loan> loans = new ArrayDeque<>();
  private int lent;

  void add(int tokens, long now) {
    loans.addLast(new Loan(tokens, now));
    lent += tokens;
  }

  int lent() {
    return lent;
  }

  /** Forgets loans that are older than a time; returns whether there were any. */
  boolean expire(long now, long afterNanos) {
    int before = lent;
    while (!loans.isEmpty() && now - loans.peekFirst().lentAt > afterNanos) {
      lent -= loans.pollFirst().tokens;
    }
    return lent != before;
  }
}
