package org.oleanderstep.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

class RateLimiterTest {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final RateLimiter.Limit LIMIT = new RateLimiter.Limit(50, 50);
  private static final Map<OrganisationId, RateLimiter.Limit> LIMITS = Map.of(SHOP, LIMIT);
  private static final long STEP = Duration.ofMillis(1).toNanos();

  private static RateLimiter limiter(double share) {
    RateLimiter limiter = new RateLimiter();
    limiter.update(LIMITS, Map.of(SHOP, share), 0);
    return limiter;
  }

  private static int admitted(RateLimiter limiter, long from, Duration time) {
    int count = 0;
    for (long now = from; now < from + time.toNanos(); now += STEP) {
      while (limiter.tryAcquire(SHOP, now)) {
        count++;
      }
    }
    return count;
  }

  // All VMs together must stay within rate and burst in any window.
  @Test
  void should_admit_no_more_than_rate_and_burst_over_all_vms() {
    List<RateLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      limiters.add(limiter(0.2));
    }
    long full = Duration.ofSeconds(10).toNanos();

    int total =
        limiters.stream().mapToInt(limiter -> admitted(limiter, full, Duration.ofSeconds(5))).sum();

    assertThat(total).isAtMost(50 * 5 + 50);
  }

  // A restart must not grant a full burst again.
  @Test
  void should_start_with_few_tokens() {
    assertThat(limiter(1.0).tokens(SHOP, 0)).isAtMost(3.0);
  }

  @Test
  void should_admit_nothing_without_a_share() {
    assertThat(admitted(limiter(0), 0, Duration.ofSeconds(2))).isEqualTo(0);
  }

  // Changing a share back and forth must not create tokens.
  @Test
  void should_not_gain_tokens_from_changed_shares() {
    RateLimiter limiter = limiter(0.5);
    assertThat(admitted(limiter, 0, Duration.ofMillis(1))).isAtMost(3);

    for (int i = 0; i < 10; i++) {
      limiter.update(LIMITS, Map.of(SHOP, i % 2 == 0 ? 0.1 : 0.9), STEP);
    }

    assertThat(limiter.tokens(SHOP, STEP)).isLessThan(1.0);
  }

  // Tokens that come back after the bucket was refilled, or twice, would exist twice.
  @Test
  void should_credit_a_loan_once_and_only_while_it_counts() {
    RateLimiter limiter = limiter(1);
    lend(limiter, 1);
    limiter.returnLoan(SHOP, 1, 2, 0);
    assertThat(limiter.tokens(SHOP, 0)).isWithin(1e-6).of(2);
    limiter.returnLoan(SHOP, 1, 2, 0);
    assertThat(limiter.tokens(SHOP, 0)).isWithin(1e-6).of(2);

    lend(limiter, 2);
    long later = Duration.ofMillis(301).toNanos();
    limiter.expireLoans(later);
    double before = limiter.tokens(SHOP, later);
    limiter.returnLoan(SHOP, 2, 2, later);
    assertThat(limiter.tokens(SHOP, later)).isEqualTo(before);
  }

  private static void lend(RateLimiter limiter, long id) {
    assertThat(limiter.lend(new TokenBorrower.LoanRequest(id, new VmId("vm"), SHOP, 3), 0, 0))
        .isGreaterThan(0);
  }

  @Test
  void should_refuse_organisations_that_are_not_declared() {
    assertThat(limiter(1.0).tryAcquire(new OrganisationId("other"), 0)).isFalse();
  }
}
