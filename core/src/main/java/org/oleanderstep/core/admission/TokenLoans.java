package org.oleanderstep.core.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tokens of one organisation that this VM lent to others lately.
 *
 * <p>They count against the cap of the lender until the borrower confirms that they came, or can't
 * use them any more, so that the tokens of all VMs never exceed the burst.
 */
final class TokenLoans {

  private record Loan(int tokens, long lentAt) {}

  private final Map<Long, Loan> loans = new LinkedHashMap<>();
  private int lent;

  boolean isKnown(long id) {
    return loans.containsKey(id);
  }

  void add(long id, int tokens, long now) {
    loans.put(id, new Loan(tokens, now));
    lent += tokens;
  }

  int lent() {
    return lent;
  }

  /** Ends a loan that the borrower has confirmed; false if it is not known. */
  boolean end(long id) {
    Loan loan = loans.remove(id);
    lent -= loan == null ? 0 : loan.tokens;
    return loan != null;
  }

  /** Ends loans that are older than a time; returns whether there were any. */
  boolean expire(long now, long afterNanos) {
    int before = lent;
    for (Iterator<Loan> oldest = loans.values().iterator(); oldest.hasNext(); ) {
      Loan loan = oldest.next();
      if (now - loan.lentAt <= afterNanos) {
        break;
      }
      lent -= loan.tokens;
      oldest.remove();
    }
    return lent != before;
  }
}
