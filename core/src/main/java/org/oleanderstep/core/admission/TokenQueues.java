package org.oleanderstep.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Queues of operations that wait for a token of their organisation's rate.
 *
 * <pre>{@code
 * queues.submit(task);
 * queues.onReply(reply);
 * queues.tick();
 * }</pre>
 *
 * <p>In bursty load, a short wait costs a caller less than a refusal and a retry. Missing tokens
 * are borrowed from other VMs. An operation for which no token can become available in time is
 * refused immediately, so that its caller can try another VM. Operations are ordered by the
 * priority of their route, then by arrival.
 *
 * <p>Not thread-safe; use it from a single thread.
 */
public final class TokenQueues {

  private final RateLimiter rates;
  private final TokenBorrower borrower;
  private final DemandMeter demand;

  private final SuspendAwareClock clock;
  private final TokenLenders lenders;
  private final AdmissionListener listener;
  private final BorrowedStock stock = new BorrowedStock();
  private final Map<OrganisationId, List<QueuedOperation>> waiting = new HashMap<>();

  /**
   * Creates empty queues.
   *
   * @param demand counts the requested operations
   * @param lenders sends token requests to other VMs; their replies are passed to {@link #onReply}
   */
  public TokenQueues(
      RateLimiter rates,
      TokenBorrower borrower,
      DemandMeter demand,
      SuspendAwareClock clock,
      TokenLenders lenders,
      AdmissionListener listener) {
    this.rates = rates;
    this.borrower = borrower;
    this.demand = demand;
    this.clock = clock;
    this.lenders = lenders;
    this.listener = listener;
  }

  /** Admits or queues an operation, or refuses it if it would have to wait for too long. */
  public void submit(QueuedOperation task) {
    OrganisationId organisation = task.organisation();
    demand.record(organisation);
    listener.onRequested(organisation);
    List<QueuedOperation> queue = queue(organisation);
    queue.add(insertionIndex(task, queue), task);
    serve(organisation);
  }

  private List<QueuedOperation> queue(OrganisationId organisation) {
    return waiting.computeIfAbsent(organisation, o -> new ArrayList<>());
  }

  private static int insertionIndex(QueuedOperation task, List<QueuedOperation> queue) {
    int index = 0;
    while (index < queue.size() && queue.get(index).priority() <= task.priority()) {
      index++;
    }
    return index;
  }

  /**
   * Returns the token of an admitted operation that was refused before anything was sent to a
   * member. While members accept no statements, callers that retry would otherwise use up the rate
   * without being served. A VM without a share returns the token to one that has a share.
   */
  public void returnToken(OrganisationId organisation) {
    if (rates.hasShare(organisation)) {
      onReturned(organisation, 1);
    } else {
      borrower.selectLender(organisation).ifPresent(vm -> lenders.giveBack(vm, organisation));
    }
  }

  /** Adds tokens that another VM has not used; those above the limit of this VM are dropped. */
  public void onReturned(OrganisationId organisation, int tokens) {
    rates.addTokens(organisation, tokens, clock.monotonicNanos());
    serve(organisation);
  }

  /** Removes an operation whose caller has disconnected. */
  public void cancel(QueuedOperation task) {
    queue(task.organisation()).remove(task);
  }

  /** Lends tokens to another VM, as far as the operations that wait here do not need them. */
  public TokenBorrower.LoanReply lend(TokenBorrower.LoanRequest ask) {
    long now = clock.monotonicNanos();
    int reserved = queue(ask.organisation()).size();
    int tokens = rates.lend(ask, reserved, now);
    listener.onLent(tokens);
    double remaining = rates.tokens(ask.organisation(), now);
    // The next tokens go to the operations that wait here.
    double free = borrower.policy().awaitsLenders() ? remaining - reserved : remaining;
    return new TokenBorrower.LoanReply(ask.id(), tokens, free);
  }

  /** Ends a loan by this VM after the borrower has confirmed it. */
  public void onLoanConfirmed(OrganisationId organisation, long id) {
    rates.confirmLoan(organisation, id, clock.monotonicNanos());
  }

  /** Handles the reply of a VM to a token request. */
  public void onReply(TokenBorrower.LoanReply reply) {
    Optional<TokenBorrower.BorrowedTokens> credit = borrower.onReply(reply, clock.read());
    if (credit.isEmpty()) {
      return;
    }
    OrganisationId organisation = credit.get().request().organisation();
    listener.onBorrowed(credit.get().tokens());
    if (credit.get().tokens() == 0) {
      listener.onNoneLent();
    } else if (borrower.policy().awaitsLenders()) {
      stock.add(credit.get());
    } else {
      useAtOnce(credit.get());
    }
    serve(organisation);
  }

  private void useAtOnce(TokenBorrower.BorrowedTokens credit) {
    OrganisationId organisation = credit.request().organisation();
    lenders.confirm(credit.request());
    List<QueuedOperation> queue = queue(organisation);
    int remaining = credit.tokens();
    while (remaining > 0 && !queue.isEmpty()) {
      remaining--;
      admit(queue.remove(0));
    }
    rates.addTokens(organisation, remaining, clock.monotonicNanos());
  }

  /** Ends a loan by this VM of which the borrower gives tokens back. */
  public void onLoanReturned(OrganisationId organisation, long id, int unused) {
    rates.returnLoan(organisation, id, unused, clock.monotonicNanos());
    serve(organisation);
  }

  /** Admits operations for which tokens are available, and refuses those that cannot get one. */
  public void tick() {
    ClockReading now = clock.read();
    rates.expireLoans(now.monotonicNanos());
    Set<OrganisationId> changed = new HashSet<>(borrower.tick(now));
    changed.addAll(waiting.keySet());
    for (int count = borrower.takeUnanswered(); count > 0; count--) {
      listener.onUnanswered();
    }
    changed.forEach(this::serve);
    waiting.values().removeIf(List::isEmpty);
    stock.removeUnused(now).forEach(loan -> lenders.giveBack(loan.request(), loan.unused()));
  }

  private void serve(OrganisationId organisation) {
    List<QueuedOperation> queue = queue(organisation);
    while (!queue.isEmpty() && tryAcquire(organisation)) {
      admit(queue.remove(0));
    }
    if (!queue.isEmpty()) {
      borrow(organisation, queue.size());
      refuseUnservable(organisation, queue);
    }
  }

  private boolean tryAcquire(OrganisationId organisation) {
    Optional<BorrowedStock.Loan> loan = stock.take(organisation, clock);
    loan.filter(each -> each.unused() == 0).ifPresent(each -> lenders.confirm(each.request()));
    return loan.isPresent() || rates.tryAcquire(organisation, clock.monotonicNanos());
  }

  private void admit(QueuedOperation operation) {
    listener.onAdmitted(operation.organisation());
    operation.admit();
  }

  private void refuse(QueuedOperation operation) {
    listener.onRefused(operation.organisation());
    operation.refuse();
  }

  private void borrow(OrganisationId organisation, int needed) {
    ClockReading now = clock.read();
    int missing = needed - borrower.pendingTokens(organisation, now);
    while (missing > 0) {
      Optional<TokenBorrower.LoanRequest> ask = borrower.requestLoan(organisation, missing, now);
      if (ask.isEmpty()) {
        return;
      }
      missing -= ask.get().tokens();
      listener.onTokenRequest();
      lenders.ask(ask.get());
    }
  }

  private void refuseUnservable(OrganisationId organisation, List<QueuedOperation> queue) {
    ClockReading now = clock.read();
    long nanos = now.monotonicNanos();
    LenderForecast forecast = borrower.forecast(organisation, now);
    int borrowedInFlight = borrower.pendingTokens(organisation, now);
    List<QueuedOperation> unservable = new ArrayList<>();
    int kept = 0;
    for (QueuedOperation task : queue) {
      int expected = forecast.tokensWithin(task.remainingWait(nanos));
      int tokensNeededHere = kept + 1 - borrowedInFlight - expected;
      boolean late =
          tokensNeededHere > 0
              && rates
                      .timeUntil(organisation, tokensNeededHere, nanos)
                      .compareTo(task.remainingWait(nanos))
                  > 0;
      if (late || task.remainingWait(nanos).isNegative()) {
        unservable.add(task);
      } else {
        kept++;
      }
    }
    queue.removeAll(unservable);
    unservable.forEach(this::refuse);
  }
}
