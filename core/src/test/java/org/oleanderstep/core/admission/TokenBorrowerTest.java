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
  private static final RateShares.Limit LIMIT = new RateShares.Limit(20, 20);
  private static final Map<OrganisationId, RateShares.Limit> LIMITS = Map.of(SHOP, LIMIT);

  private final TokenBorrower borrower = new TokenBorrower(7);
  private long now;
  private long wall = 1_000_000;

  private ClockReading clock() {
    return new ClockReading(now, wall);
  }

  private void pass(Duration time) {
    now += time.toNanos();
    wall += time.toMillis();
  }

  private void know(double near, double far) {
    borrower.update(LIMITS, Map.of(SHOP, Map.of(NEAR, near, FAR, far)));
  }

  @Test
  void should_ask_the_vm_that_probably_has_most() {
    know(0.2, 0.6);

    TokenBorrower.Ask ask = borrower.ask(SHOP, 2, clock()).orElseThrow();

    assertThat(ask.lender()).isEqualTo(FAR);
    assertThat(ask.tokens()).isEqualTo(2);
    assertThat(borrower.underway(SHOP, clock())).isEqualTo(2);
  }

  // While a rate is used up everywhere, each operation would cost a request to every VM.
  @Test
  void should_not_ask_a_vm_that_has_just_said_it_has_none() {
    know(0, 0.5);
    TokenBorrower.Ask ask = borrower.ask(SHOP, 1, clock()).orElseThrow();

    borrower.onReply(new TokenBorrower.Reply(ask.id(), 0, 0), clock());

    assertThat(borrower.ask(SHOP, 1, clock())).isEmpty();
    pass(Duration.ofMillis(150));
    assertThat(borrower.ask(SHOP, 1, clock())).isPresent();
  }

  @Test
  void should_leave_out_a_vm_that_does_not_answer() {
    know(0.2, 0.6);
    borrower.ask(SHOP, 1, clock());
    pass(Duration.ofMillis(60));
    borrower.tick(clock());

    assertThat(borrower.ask(SHOP, 1, clock()).orElseThrow().lender()).isEqualTo(NEAR);
  }

  // The lender counts a loan for a limited time; a token that comes later would exist twice.
  @Test
  void should_discard_a_reply_that_comes_after_a_suspension() {
    know(0, 0.5);
    TokenBorrower.Ask ask = borrower.ask(SHOP, 1, clock()).orElseThrow();

    wall += 3_000;

    assertThat(borrower.onReply(new TokenBorrower.Reply(ask.id(), 1, 5), clock())).isEmpty();
  }

  @Test
  void should_accept_each_reply_once() {
    know(0, 0.5);
    TokenBorrower.Ask ask = borrower.ask(SHOP, 1, clock()).orElseThrow();
    TokenBorrower.Reply reply = new TokenBorrower.Reply(ask.id(), 1, 5);

    assertThat(borrower.onReply(reply, clock())).isPresent();
    assertThat(borrower.onReply(reply, clock())).isEmpty();
  }

  // The promise of rates: in no window more than rate and burst, with replies that are delayed,
  // lost and doubled, and callers that are all at one VM.
  @Test
  void should_never_admit_more_than_rate_and_burst_over_all_vms() {
    Duration window = Duration.ofSeconds(5);
    int most = (int) (LIMIT.ratePerSecond() * window.toSeconds() + LIMIT.burst());
    for (int seed = 0; seed < 20; seed++) {
      LendingFleet fleet = new LendingFleet(4, LIMIT, new Random(seed));

      fleet.run(Duration.ofSeconds(20));

      assertThat(fleet.mostAdmittedIn(window)).isAtMost(most);
      // A run in which nothing presses would prove nothing.
      assertThat(fleet.mostAdmittedIn(window)).isAtLeast(most * 3 / 4);
    }
  }
}
