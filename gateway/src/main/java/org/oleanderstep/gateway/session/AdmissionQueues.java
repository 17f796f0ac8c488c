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

/**
 * Operations that wait for a token of their organisation's rate.
 *
 * <pre>{@code
 * queues.submit(task);
 * queues.onReply(reply);
 * queues.tick();
 * }</pre>
 *
 * <p>Answers a load that comes in bunches, for which a short wait costs a caller less than a
 * refusal and a new try. A missing token is borrowed from another VM. An operation for which no
 * token can come in time is refused at once, so that its caller can try another VM. More urgent
 * routes go first, then those that came first. Belongs to the traffic thread.
 */
public final class AdmissionQueues {

  private final RateLimiter rates;
  private final TokenBorrower borrower;
  private final DemandMeter demand;
  private final SuspendAwareClock clock;
  private final TokenLenders lenders;
  private final SessionMetrics metrics;
  private final Map<OrganisationId, List<AdmissionTask>> waiting = new HashMap<>();

  /**
   * Creates empty queues in front of the rates.
   *
   * @param demand counts what is asked for
   * @param lenders takes requests to other VMs; their replies go to {@link #onReply}
   */
  public AdmissionQueues(
      RateLimiter rates,
      TokenBorrower borrower,
      DemandMeter demand,
      SuspendAwareClock clock,
      TokenLenders lenders,
      SessionMetrics metrics) {
    this.rates = rates;
    this.borrower = borrower;
    this.demand = demand;
    this.clock = clock;
    this.lenders = lenders;
    this.metrics = metrics;
  }

  /** Admits an operation, lets it wait, or refuses it if it would wait for too long. */
  void submit(AdmissionTask task) {
    OrganisationId organisation = task.organisation();
    demand.record(organisation);
    List<AdmissionTask> queue = queue(organisation);
    queue.add(placeOf(task, queue), task);
    serve(organisation);
  }

  private List<AdmissionTask> queue(OrganisationId organisation) {
    return waiting.computeIfAbsent(organisation, o -> new ArrayList<>());
  }

  private static int placeOf(AdmissionTask task, List<AdmissionTask> queue) {
    int place = 0;
    while (place < queue.size() && queue.get(place).priority() <= task.priority()) {
      place++;
    }
    return place;
  }

  /** Removes an operation whose caller is gone. */
  void cancel(AdmissionTask task) {
    queue(task.organisation()).remove(task);
  }

  /** Deducts tokens that another VM asks for; those who wait here go first. */
  public TokenBorrower.LoanReply lend(TokenBorrower.LoanRequest ask) {
    long now = clock.read().monotonicNanos();
    int reserved = queue(ask.organisation()).size();
    int tokens = rates.lend(ask, reserved, now);
    metrics.recordLent(tokens);
    return new TokenBorrower.LoanReply(ask.id(), tokens, rates.tokens(ask.organisation(), now));
  }

  /** Ends a loan of this VM. */
  public void onConfirmed(OrganisationId organisation, long id) {
    rates.confirmLoan(organisation, id, clock.read().monotonicNanos());
  }

  /** Takes the reply of a VM that was asked for tokens. */
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
    int left = credit.get().tokens();
    metrics.recordBorrowed(left);
    while (left > 0 && !queue.isEmpty()) {
      left--;
      queue.remove(0).admit();
    }
    rates.addTokens(organisation, left, clock.read().monotonicNanos());
    serve(organisation);
  }

  /** Admits those for which tokens have accrued, and refuses those that can't have one. */
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
    while (!queue.isEmpty() && rates.tryAcquire(organisation, clock.read().monotonicNanos())) {
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
    int underway = borrower.pendingTokens(organisation, now);
    List<AdmissionTask> unservable = new ArrayList<>();
    int kept = 0;
    for (AdmissionTask task : queue) {
      int local = kept + 1 - underway;
      boolean late =
          local > 0
              && rates.timeUntil(organisation, local, nanos).compareTo(task.patience(nanos)) > 0;
      if (late || task.patience(nanos).isNegative()) {
        unservable.add(task);
      } else {
        kept++;
      }
    }
    queue.removeAll(unservable);
    unservable.forEach(AdmissionTask::refuse);
  }
}
