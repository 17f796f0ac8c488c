package org.oleanderstep.gateway.session;

import org.oleanderstep.core.admission.AdmissionListener;
import org.oleanderstep.core.admission.DemandMeter;
import org.oleanderstep.core.admission.RateLimiter;
import org.oleanderstep.core.admission.RateWindow;
import org.oleanderstep.core.admission.RateWindows;
import org.oleanderstep.core.admission.TokenBorrower;
import org.oleanderstep.core.admission.TokenLenders;
import org.oleanderstep.core.admission.TokenQueues;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.log.DecisionLog;

/**
 * Queues of operations that wait for a token of their organisation's rate; reports what was
 * admitted and refused in log lines and metrics.
 *
 * <pre>{@code
 * queues.submit(task);
 * queues.onReply(reply);
 * queues.tick();
 * }</pre>
 *
 * <p>The decisions are those of {@link TokenQueues}. Not thread-safe; call only from the traffic
 * thread.
 */
public final class AdmissionQueues {

  private final TokenQueues queues;
  private final SuspendAwareClock clock;
  private final DecisionLog log;
  private final RateWindows windows;

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
      SuspendAwareClock clock,
      TokenLenders lenders,
      DecisionLog log,
      SessionMetrics metrics) {
    this.clock = clock;
    this.log = log;
    windows = new RateWindows(clock.read().wallClockMillis());
    queues =
        new TokenQueues(rates, borrower, demand, clock, lenders, new Listener(windows, metrics));
  }

  /** Counts in the windows and the metrics. */
  private record Listener(RateWindows windows, SessionMetrics metrics)
      implements AdmissionListener {

    @Override
    public void onRequested(OrganisationId organisation) {
      windows.recordRequested(organisation);
    }

    @Override
    public void onAdmitted(OrganisationId organisation) {
      windows.recordAdmitted(organisation);
      metrics.recordAdmitted(organisation);
    }

    @Override
    public void onRefused(OrganisationId organisation) {
      windows.recordRefused(organisation);
      metrics.recordRefused(organisation);
    }

    @Override
    public void onBorrowed(int tokens) {
      metrics.recordBorrowed(tokens);
    }

    @Override
    public void onLent(int tokens) {
      metrics.recordLent(tokens);
    }

    @Override
    public void onTokenRequest() {
      metrics.recordTokenRequest();
    }

    @Override
    public void onNoneLent() {
      metrics.recordNoneLent();
    }

    @Override
    public void onUnanswered() {
      metrics.recordUnanswered();
    }
  }

  /** Admits or queues an operation, or refuses it if it would have to wait for too long. */
  void submit(AdmissionTask task) {
    queues.submit(task);
  }

  /** Returns the token of an admitted operation that was refused before anything was sent. */
  void returnToken(OrganisationId organisation) {
    queues.returnToken(organisation);
  }

  /** Adds tokens that another VM has not used; those above the limit of this VM are dropped. */
  public void onReturned(OrganisationId organisation, int tokens) {
    queues.onReturned(organisation, tokens);
  }

  /** Removes an operation whose caller has disconnected. */
  void cancel(AdmissionTask task) {
    queues.cancel(task);
  }

  /** Lends tokens to another VM, as far as the operations that wait here do not need them. */
  public TokenBorrower.LoanReply lend(TokenBorrower.LoanRequest ask) {
    return queues.lend(ask);
  }

  /** Ends a loan by this VM after the borrower has confirmed it. */
  public void onLoanConfirmed(OrganisationId organisation, long id) {
    queues.onLoanConfirmed(organisation, id);
  }

  /** Ends a loan by this VM of which the borrower gives tokens back. */
  public void onLoanReturned(OrganisationId organisation, long id, int unused) {
    queues.onLoanReturned(organisation, id, unused);
  }

  /** Handles the reply of a VM to a token request. */
  public void onReply(TokenBorrower.LoanReply reply) {
    queues.onReply(reply);
  }

  /** Admits operations for which tokens are available, and refuses those that cannot get one. */
  public void tick() {
    queues.tick();
    windows.endSecond(clock.read().wallClockMillis()).forEach(this::report);
  }

  // At most one line for each organisation and second. The lines of all VMs are summed, so that
  // none may be omitted.
  private void report(RateWindow window) {
    log.stateChange("rate_window")
        .with("organisation", window.organisation().name())
        .with("second", window.second())
        .with("requested", window.requested())
        .with("admitted", window.admitted())
        .with("refused", window.refused())
        .write();
  }
}
