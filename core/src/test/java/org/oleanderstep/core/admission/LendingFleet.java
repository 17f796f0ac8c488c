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
 * VMs that lend each other tokens over a network that delays, loses and doubles replies. Callers
 * press on one VM at a time, and move on to the next.
 */
final class LendingFleet {

  private static final OrganisationId SHOP = new OrganisationId("shop");
  private static final Duration STEP = Duration.ofMillis(5);
  private static final Duration STAY = Duration.ofSeconds(4);
  private static final Duration USUAL_DELAY = Duration.ofMillis(2);
  private static final int LONGEST_DELAY_MILLIS = 400;

  private record Datagram(long arrivesAt, TokenBorrower.Reply reply, Vm to) {}

  private record Vm(RateShares shares, TokenBorrower borrower) {}

  private final Random random;
  private final List<VmId> names = new ArrayList<>();
  private final List<Vm> vms = new ArrayList<>();
  private final List<Datagram> network = new ArrayList<>();
  private final List<Long> admitted = new ArrayList<>();
  private long now;

  LendingFleet(int size, RateShares.Limit limit, Random random) {
    this.random = random;
    for (int vm = 0; vm < size; vm++) {
      names.add(new VmId("vm-" + vm));
    }
    double part = 1.0 / size;
    for (VmId name : names) {
      vms.add(create(name, limit, part));
    }
  }

  private Vm create(VmId name, RateShares.Limit limit, double part) {
    Map<VmId, Double> others = new HashMap<>();
    names.forEach(other -> others.put(other, part));
    others.remove(name);
    RateShares shares = new RateShares();
    shares.update(Map.of(SHOP, limit), Map.of(SHOP, part), now);
    TokenBorrower borrower = new TokenBorrower(random.nextLong());
    borrower.update(Map.of(SHOP, limit), Map.of(SHOP, others));
    return new Vm(shares, borrower);
  }

  private ClockReading clock() {
    return new ClockReading(now, Duration.ofNanos(now).toMillis());
  }

  void run(Duration time) {
    for (long end = now + time.toNanos(); now < end; now += STEP.toNanos()) {
      int busy = (int) (now / STAY.toNanos()) % vms.size();
      for (int index = 0; index < vms.size(); index++) {
        Vm vm = vms.get(index);
        vm.shares.endLoans(now);
        vm.borrower.tick(clock());
        if (random.nextInt(index == busy ? 2 : 60) == 0) {
          ask(vm);
        }
      }
      deliver();
    }
  }

  private void ask(Vm vm) {
    if (vm.shares.tryAcquire(SHOP, now)) {
      admitted.add(now);
    } else {
      vm.borrower.ask(SHOP, 1 + random.nextInt(4), clock()).ifPresent(ask -> lend(ask, vm));
    }
  }

  private void lend(TokenBorrower.Ask ask, Vm borrower) {
    RateShares lender = vms.get(names.indexOf(ask.lender())).shares;
    int lent = lender.lend(ask, 0, now);
    TokenBorrower.Reply reply = new TokenBorrower.Reply(ask.id(), lent, lender.tokens(SHOP, now));
    boolean late = random.nextInt(4) == 0;
    Duration delay = late ? Duration.ofMillis(random.nextInt(LONGEST_DELAY_MILLIS)) : USUAL_DELAY;
    int copies = random.nextInt(8) == 0 ? random.nextInt(3) : 1;
    for (int copy = 0; copy < copies; copy++) {
      network.add(new Datagram(now + delay.toNanos(), reply, borrower));
    }
  }

  private void deliver() {
    for (Datagram each : List.copyOf(network)) {
      if (each.arrivesAt <= now) {
        network.remove(each);
        each.to.borrower.onReply(each.reply, clock()).ifPresent(this::use);
      }
    }
  }

  private void use(TokenBorrower.Credit credit) {
    for (int i = 0; i < credit.tokens(); i++) {
      admitted.add(now);
    }
    if (random.nextInt(4) > 0) {
      TokenBorrower.Ask ask = credit.ask();
      vms.get(names.indexOf(ask.lender())).shares.confirmLoan(SHOP, ask.id(), now);
    }
  }

  /** Returns the most operations that were admitted in any window of a length. */
  int mostAdmittedIn(Duration window) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < admitted.size(); last++) {
      while (admitted.get(last) - admitted.get(first) > window.toNanos()) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}
