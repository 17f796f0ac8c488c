package org.oleanderstep.gateway.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.admission.DemandMeter;
import org.oleanderstep.core.admission.RateLimiter;
import org.oleanderstep.core.admission.TokenBorrower;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.control.LoadPolicy;

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
 * <p>Not thread-safe; call only from the traffic thread.
 */
public final class AdmissionQueues {

  private final RateLimiter rates;
  private final TokenBorrower borrower;
  private final DemandMeter demand;

  @SuppressWarnings("unused") // read by the parts that follow
  private final LoadPolicy policy;

  private final SuspendAwareClock clock;
  private final TokenLenders lenders;
  private final SessionMetrics metrics;
  private final Map<OrganisationId, List<AdmissionTask>> waiting = new HashMap<>();

  /**
   * Creates empty queues.
   *
   * @param demand counts the requested operations
   * @param lenders sends token requests to other VMs; their replies are passed to {@link #onReply}
   */
  public AdmissionQueues(
      RateLimiter rates,
      TokenBorrower borrower,
      DemandMeter demand,
      LoadPolicy policy,
      SuspendAwareClock clock,
      TokenLenders lenders,
      SessionMetrics metrics) {
    this.rates = rates;
    this.borrower = borrower;
    this.demand = demand;
    this.policy = policy;
    this.clock = clock;
    this.lenders = lenders;
    this.metrics = metrics;
  }

  /** Admits or queues an operation, or refuses it if it would have to wait for too long. */
  void submit(AdmissionTask task) {
    OrganisationId organisation = task.organisation();
    demand.record(organisation);
    List<AdmissionTask> queue = queue(organisation);
    queue.add(insertionIndex(task, queue), task);
    serve(organisation);
  }

  private List<AdmissionTask> queue(OrganisationId organisation) {
    return waiting.computeIfAbsent(organisation, o -> new ArrayList<>());
  }

  private static int insertionIndex(AdmissionTask task, List<AdmissionTask> queue) {
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
  void returnToken(OrganisationId organisation) {
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
  void cancel(AdmissionTask task) {
    queue(task.organisation()).remove(task);
  }

  /** Lends tokens to another VM, as far as the operations that wait here do not need them. */
  public TokenBorrower.LoanReply lend(TokenBorrower.LoanRequest ask) {
    long now = clock.monotonicNanos();
    int reserved = queue(ask.organisation()).size();
    int tokens = rates.lend(ask, reserved, now);
    metrics.recordLent(tokens);
    return new TokenBorrower.LoanReply(ask.id(), tokens, rates.tokens(ask.organisation(), now));
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
    if (credit.get().tokens() > 0) {
      lenders.confirm(credit.get().request());
    }
    List<AdmissionTask> queue = queue(organisation);
    int remaining = credit.get().tokens();
    metrics.recordBorrowed(remaining);
    while (remaining > 0 && !queue.isEmpty()) {
      remaining--;
      queue.remove(0).admit();
    }
    rates.addTokens(organisation, remaining, clock.monotonicNanos());
    serve(organisation);
  }

  /** Admits operations for which tokens are available, and refuses those that cannot get one. */
  public void tick() {
    ClockReading now = clock.read();
    rates.expireLoans(now.monotonicNanos());
    Set<OrganisationId> changed = new HashSet<>(borrower.tick(now));
    changed.addAll(waiting.keySet());
    changed.forEach(this::serve);
    waiting.values().removeIf(List::isEmpty);
  }

  private void serve(OrganisationId organisation) {
    List<AdmissionTask> queue = queue(organisation);
    while (!queue.isEmpty() && rates.tryAcquire(organisation, clock.monotonicNanos())) {
      queue.remove(0).admit();
    }
    if (!queue.isEmpty()) {
      borrow(organisation, queue.size());
      refuseUnservable(organisation, queue);
    }
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
      lenders.ask(ask.get());
    }
  }

  private void refuseUnservable(OrganisationId organisation, List<AdmissionTask> queue) {
    ClockReading now = clock.read();
    long nanos = now.monotonicNanos();
    int borrowedInFlight = borrower.pendingTokens(organisation, now);
    List<AdmissionTask> unservable = new ArrayList<>();
    int kept = 0;
    for (AdmissionTask task : queue) {
      int tokensNeededHere = kept + 1 - borrowedInFlight;
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
    unservable.forEach(AdmissionTask::refuse);
  }
}
