package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Simulates VMs that lend tokens to each other over a network that delays, loses and duplicates
 * replies. Most callers send their requests to one VM at a time, and then move on to the next.
 */
final class TokenLendingSimulation {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final Duration STEP = Duration.ofMillis(5);
  private static final Duration TIME_PER_VM = Duration.ofSeconds(4);
  private static final Duration USUAL_DELAY = Duration.ofMillis(2);
  private static final int MAX_DELAY_MILLIS = 400;

  private record Delivery(long arrivesAt, TokenBorrower.LoanReply reply, Vm to) {}

  private record Vm(RateLimiter limiter, TokenBorrower borrower) {}

  private final Random random;
  private final List<VmId> names = new ArrayList<>();
  private final List<Vm> vms = new ArrayList<>();
  private final List<Delivery> network = new ArrayList<>();
  private final List<Long> admitted = new ArrayList<>();
  private long now;

  TokenLendingSimulation(int size, RateLimiter.Limit limit, Random random) {
    this.random = random;
    for (int vm = 0; vm < size; vm++) {
      names.add(new VmId("vm-" + vm));
    }
    double share = 1.0 / size;
    for (VmId name : names) {
      vms.add(create(name, limit, share));
    }
  }

  private Vm create(VmId name, RateLimiter.Limit limit, double share) {
    Map<VmId, Double> others = new HashMap<>();
    names.forEach(other -> others.put(other, share));
    others.remove(name);
    RateLimiter limiter = new RateLimiter();
    limiter.update(Map.of(SHOP, limit), Map.of(SHOP, share), now);
    TokenBorrower borrower = new TokenBorrower(random.nextLong());
    borrower.update(Map.of(SHOP, limit), Map.of(SHOP, others));
    return new Vm(limiter, borrower);
  }

  private ClockReading clock() {
    return new ClockReading(now, Duration.ofNanos(now).toMillis());
  }

  void run(Duration time) {
    for (long end = now + time.toNanos(); now < end; now += STEP.toNanos()) {
      int loaded = (int) (now / TIME_PER_VM.toNanos()) % vms.size();
      for (int index = 0; index < vms.size(); index++) {
        Vm vm = vms.get(index);
        vm.limiter.expireLoans(now);
        vm.borrower.tick(clock());
        if (random.nextInt(index == loaded ? 2 : 60) == 0) {
          acquire(vm);
        }
      }
      deliver();
    }
  }

  private void acquire(Vm vm) {
    if (vm.limiter.tryAcquire(SHOP, now)) {
      admitted.add(now);
    } else {
      vm.borrower
          .requestLoan(SHOP, 1 + random.nextInt(4), clock())
          .ifPresent(request -> lend(request, vm));
    }
  }

  private void lend(TokenBorrower.LoanRequest request, Vm borrower) {
    RateLimiter lender = vms.get(names.indexOf(request.lender())).limiter;
    int lent = lender.lend(request, 0, now);
    TokenBorrower.LoanReply reply =
        new TokenBorrower.LoanReply(request.id(), lent, lender.tokens(SHOP, now));
    boolean delayed = random.nextInt(4) == 0;
    Duration delay = delayed ? Duration.ofMillis(random.nextInt(MAX_DELAY_MILLIS)) : USUAL_DELAY;
    int copies = random.nextInt(8) == 0 ? random.nextInt(3) : 1;
    for (int copy = 0; copy < copies; copy++) {
      network.add(new Delivery(now + delay.toNanos(), reply, borrower));
    }
  }

  private void deliver() {
    for (Delivery each : List.copyOf(network)) {
      if (each.arrivesAt <= now) {
        network.remove(each);
        each.to.borrower.onReply(each.reply, clock()).ifPresent(this::admitBorrowed);
      }
    }
  }

  private void admitBorrowed(TokenBorrower.BorrowedTokens borrowed) {
    for (int i = 0; i < borrowed.tokens(); i++) {
      admitted.add(now);
    }
    if (random.nextInt(4) > 0) {
      TokenBorrower.LoanRequest request = borrowed.request();
      vms.get(names.indexOf(request.lender())).limiter.confirmLoan(SHOP, request.id(), now);
    }
  }

  /** Returns the highest number of operations that were admitted in any window of a length. */
  int maxAdmittedIn(Duration window) {
    int max = 0;
    int first = 0;
    for (int last = 0; last < admitted.size(); last++) {
      while (admitted.get(last) - admitted.get(first) > window.toNanos()) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }
}
