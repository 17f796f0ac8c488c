package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

class TokenBorrowerTest {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final VmId NEAR = new VmId("near");
  private static final VmId FAR = new VmId("far");
  private static final RateLimiter.Limit LIMIT = new RateLimiter.Limit(20, 20);
  private static final Map<OrganisationId, RateLimiter.Limit> LIMITS = Map.of(SHOP, LIMIT);

  private final TokenBorrower borrower = new TokenBorrower(7);
  private long monotonicNanos;
  private long wallClockMillis = 1_000_000;

  private ClockReading clock() {
    return new ClockReading(monotonicNanos, wallClockMillis);
  }

  private void advance(Duration time) {
    monotonicNanos += time.toNanos();
    wallClockMillis += time.toMillis();
  }

  private void updateShares(double near, double far) {
    borrower.update(LIMITS, Map.of(SHOP, Map.of(NEAR, near, FAR, far)));
  }

  @Test
  void should_ask_the_vm_with_the_most_estimated_tokens() {
    updateShares(0.2, 0.6);

    TokenBorrower.LoanRequest request = borrower.requestLoan(SHOP, 2, clock()).orElseThrow();

    assertThat(request.lender()).isEqualTo(FAR);
    assertThat(request.tokens()).isEqualTo(2);
    assertThat(borrower.pendingTokens(SHOP, clock())).isEqualTo(2);
  }

  // Otherwise each operation would cost a request to every VM while no VM has tokens left.
  @Test
  void should_not_ask_a_vm_that_has_just_reported_no_tokens() {
    updateShares(0, 0.5);
    TokenBorrower.LoanRequest request = borrower.requestLoan(SHOP, 1, clock()).orElseThrow();

    borrower.onReply(new TokenBorrower.LoanReply(request.id(), 0, 0), clock());

    assertThat(borrower.requestLoan(SHOP, 1, clock())).isEmpty();
    advance(Duration.ofMillis(150));
    assertThat(borrower.requestLoan(SHOP, 1, clock())).isPresent();
  }

  @Test
  void should_not_ask_a_vm_that_did_not_answer() {
    updateShares(0.2, 0.6);
    borrower.requestLoan(SHOP, 1, clock());
    advance(Duration.ofMillis(60));
    borrower.tick(clock());

    assertThat(borrower.requestLoan(SHOP, 1, clock()).orElseThrow().lender()).isEqualTo(NEAR);
  }

  // The lender counts a loan for a limited time; a token that arrives later would exist twice.
  @Test
  void should_discard_a_reply_that_arrives_after_a_suspension() {
    updateShares(0, 0.5);
    TokenBorrower.LoanRequest request = borrower.requestLoan(SHOP, 1, clock()).orElseThrow();

    wallClockMillis += 3_000;

    assertThat(borrower.onReply(new TokenBorrower.LoanReply(request.id(), 1, 5), clock()))
        .isEmpty();
  }

  @Test
  void should_accept_each_reply_once() {
    updateShares(0, 0.5);
    TokenBorrower.LoanRequest request = borrower.requestLoan(SHOP, 1, clock()).orElseThrow();
    TokenBorrower.LoanReply reply = new TokenBorrower.LoanReply(request.id(), 1, 5);

    assertThat(borrower.onReply(reply, clock())).isPresent();
    assertThat(borrower.onReply(reply, clock())).isEmpty();
  }

  // No window may contain more than rate and burst, although replies are delayed, lost and
  // duplicated, and most callers use the same VM.
  @Test
  void should_never_admit_more_than_rate_and_burst_over_all_vms() {
    Duration window = Duration.ofSeconds(5);
    int most = (int) (LIMIT.ratePerSecond() * window.toSeconds() + LIMIT.burst());
    for (int seed = 0; seed < 20; seed++) {
      TokenLendingSimulation simulation = new TokenLendingSimulation(4, LIMIT, new Random(seed));

      simulation.run(Duration.ofSeconds(20));

      assertThat(simulation.maxAdmittedIn(window)).isAtMost(most);
      // A run with too little load would pass the check above without testing anything.
      assertThat(simulation.maxAdmittedIn(window)).isAtLeast(most * 3 / 4);
    }
  }
}
