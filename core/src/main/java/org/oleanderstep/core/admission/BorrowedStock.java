package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Borrowed tokens for which no operation waits at the moment.
 *
 * <p>Their loans are not confirmed yet, so that they count against the cap of the lender. They are
 * used, given back or lost before the lender ends the loan by itself: a token of this stock is as
 * old as the request for it, by the larger of both clocks. Not thread-safe.
 */
final class BorrowedStock {

  /** Time left for the message that gives tokens back, until the lender ends the loan. */
  private static final Duration GIVE_BACK_AFTER = Duration.ofMillis(150);

  /** A loan with tokens that are not used. */
  static final class Loan {
    private final TokenBorrower.BorrowedTokens borrowed;
    private int unused;

    private Loan(TokenBorrower.BorrowedTokens borrowed) {
      this.borrowed = borrowed;
      unused = borrowed.tokens();
    }

    TokenBorrower.LoanRequest request() {
      return borrowed.request();
    }

    /** Returns how many of the tokens are not used. */
    int unused() {
      return unused;
    }

    private boolean isOlderThan(Duration age, ClockReading now) {
      return borrowed.requestedAt().ageAt(now).compareTo(age) > 0;
    }
  }

  private final Map<OrganisationId, Deque<Loan>> loans = new HashMap<>();

  void add(TokenBorrower.BorrowedTokens borrowed) {
    loans
        .computeIfAbsent(borrowed.request().organisation(), o -> new ArrayDeque<>())
        .add(new Loan(borrowed));
  }

  /** Uses a token if there is one; the loan of the token is returned, also if it is used up. */
  Optional<Loan> take(OrganisationId organisation, SuspendAwareClock clock) {
    Deque<Loan> held = loans.get(organisation);
    if (held == null) {
      return Optional.empty();
    }
    ClockReading now = clock.read();
    while (!held.isEmpty() && held.peek().isOlderThan(TokenBorrower.REPLY_TIMEOUT, now)) {
      held.remove();
    }
    if (held.isEmpty()) {
      return Optional.empty();
    }
    Loan loan = held.peek();
    loan.unused--;
    if (loan.unused == 0) {
      held.remove();
    }
    return Optional.of(loan);
  }

  /** Removes and returns the loans whose rest should be given back; drops those too old for it. */
  Deque<Loan> removeUnused(ClockReading now) {
    Deque<Loan> removed = new ArrayDeque<>();
    for (Deque<Loan> held : loans.values()) {
      while (!held.isEmpty() && held.peek().isOlderThan(GIVE_BACK_AFTER, now)) {
        Loan loan = held.remove();
        if (!loan.isOlderThan(TokenBorrower.REPLY_TIMEOUT, now)) {
          removed.add(loan);
        }
      }
    }
    loans.values().removeIf(Deque::isEmpty);
    return removed;
  }
}
