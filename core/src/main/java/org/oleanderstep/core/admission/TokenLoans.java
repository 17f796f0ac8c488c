package org.oleanderstep.core.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tokens of one organisation that this VM has lent to others.
 *
 * <p>They count against the cap of the lender until the borrower confirms their arrival or can no
 * longer use them, so that the tokens of all VMs never exceed the burst. Not thread-safe.
 */
final class TokenLoans {

  private record Loan(int tokens, long lentAt) {}

  private final Map<Long, Loan> loans = new LinkedHashMap<>();
  private int lentTokens;

  boolean contains(long id) {
    return loans.containsKey(id);
  }

  void add(long id, int tokens, long now) {
    loans.put(id, new Loan(tokens, now));
    lentTokens += tokens;
  }

  int lentTokens() {
    return lentTokens;
  }

  /** Returns the tokens of a loan; zero if it is unknown. */
  int tokens(long id) {
    Loan loan = loans.get(id);
    return loan == null ? 0 : loan.tokens;
  }

  /** Ends a loan that the borrower has confirmed; returns false if the loan is unknown. */
  boolean confirm(long id) {
    Loan loan = loans.remove(id);
    lentTokens -= loan == null ? 0 : loan.tokens;
    return loan != null;
  }

  /** Ends loans that are older than {@code afterNanos}; returns whether there were any. */
  boolean expire(long now, long afterNanos) {
    if (loans.isEmpty()) {
      return false;
    }
    int before = lentTokens;
    for (Iterator<Loan> oldest = loans.values().iterator(); oldest.hasNext(); ) {
      Loan loan = oldest.next();
      if (now - loan.lentAt <= afterNanos) {
        break;
      }
      lentTokens -= loan.tokens;
      oldest.remove();
    }
    return lentTokens != before;
  }
}
