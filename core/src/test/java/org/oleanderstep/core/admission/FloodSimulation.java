package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Simulates VMs that divide the rates of organisations while one organisation floods, callers
 * gather at few VMs, datagrams are lost and delayed, and a third of the VMs can't reach the store.
 */
final class FloodSimulation {

  static final int VMS = 23;
  static final int ORGANISATIONS = 71;
  private static final int LARGE = 5;
  private static final int MEDIUM = 16;
  private static final double FLOOD_FACTOR = 7.5;
  private static final double USUAL_LOAD = 0.7;
  private static final double LOSS = 0.02;
  private static final double MAX_WAIT_FRACTION = 0.4;
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration PLAN_INTERVAL = Duration.ofSeconds(3);
  private static final Duration LIVE_TIMEOUT = Duration.ofSeconds(20);
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1_000 * MILLI;
  // The organisation that floods is a large one.
  static final OrganisationId FLOODER = organisation(0);
  // At each VM of an organisation, this part of its callers.
  private static final double[] CALLER_PARTS = {0.6, 0.85, 1};
  private static final int[] TARGET_MILLIS = {100, 200, 200, 200, 200, 600};

  /** What happened to the operations of one organisation, over all VMs. */
  static final class Tally {
    final List<Long> admittedAt = new ArrayList<>();
    final Map<Long, Integer> refusedBySecond = new HashMap<>();
    final Map<Long, Integer> admittedBySecond = new HashMap<>();
  }

  private record Event(long at, long order, Runnable action) {}

  private final class Operation implements QueuedOperation {
    private final OrganisationId organisation;
    private final int targetMillis;
    private final long arrivedAt;
    private final Vm vm;

    private Operation(OrganisationId organisation, int targetMillis, Vm vm) {
      this.organisation = organisation;
      this.targetMillis = targetMillis;
      this.vm = vm;
      arrivedAt = vm.monotonic();
    }

    @Override
    public OrganisationId organisation() {
      return organisation;
    }

    @Override
    public int priority() {
      return 0;
    }

    @Override
    public Duration remainingWait(long at) {
      long limit = arrivedAt + (long) (targetMillis * MAX_WAIT_FRACTION * MILLI);
      return Duration.ofNanos(limit - at);
    }

    @Override
    public void admit() {
      Tally tally = tallies.get(organisation);
      tally.admittedAt.add(now);
      tally.admittedBySecond.merge(now / SECOND, 1, Integer::sum);
    }

    @Override
    public void refuse() {
      tallies.get(organisation).refusedBySecond.merge(now / SECOND, 1, Integer::sum);
      if (vm.monotonic() - arrivedAt > targetMillis * MILLI / 4) {
        lateRefusals++;
        lateRefusalsOfOthers += organisation.equals(FLOODER) ? 0 : 1;
      }
    }
  }

  private final class Vm implements TokenLenders {
    private final VmId id;
    private final boolean reachesStore;
    private final RateLimiter limiter = new RateLimiter();
    private final TokenBorrower borrower;
    private final TokenQueues queues;
    private final RateClaimPlanner planner;
    private long pausedNanos;
    private long pausedUntil;

    private Vm(VmId id, boolean reachesStore) {
      this.id = id;
      this.reachesStore = reachesStore;
      planner = new RateClaimPlanner(id, reserveForOthers);
      borrower = new TokenBorrower(random.nextLong(), BorrowingPolicy.of(reserveForOthers));
      queues =
          new TokenQueues(
              limiter, borrower, new DemandMeter(0), this::read, this, new CountingListener());
    }

    private long monotonic() {
      return now - pausedNanos;
    }

    // The monotonic clock stands still while the VM is paused, the wall clock does not.
    private ClockReading read() {
      return new ClockReading(monotonic(), now / MILLI);
    }

    private void pause(long nanos) {
      pausedUntil = now + nanos;
      pausedNanos += nanos;
    }

    private void run(Runnable action) {
      if (now < pausedUntil) {
        schedule(pausedUntil, () -> run(action));
      } else {
        action.run();
      }
    }

    private void applyClaims() {
      limiter.update(limits, claims.claimedBy(id), monotonic());
      updateLenders();
    }

    private void updateLenders() {
      Set<VmId> others = new HashSet<>(reachesStore ? lendersInView() : vms.keySet());
      others.remove(id);
      borrower.update(limits, claims.claimedBy(others));
    }

    private void plan() {
      RateClaims next =
          planner.plan(claims, Map.of(), limits, new RateClaimPlanner.Vms(vms.keySet(), live()));
      if (!next.equals(claims)) {
        claims = next;
        vms.values().stream().filter(vm -> vm.reachesStore).forEach(vm -> vm.run(vm::applyClaims));
      }
    }

    @Override
    public void ask(TokenBorrower.LoanRequest ask) {
      tokenRequests++;
      requestsOfFlooder += ask.organisation().equals(FLOODER) ? 1 : 0;
      Vm lender = vms.get(ask.lender());
      send(
          lender,
          () -> {
            TokenBorrower.LoanReply reply = lender.queues.lend(ask);
            send(this, () -> queues.onReply(reply));
          });
    }

    @Override
    public void confirm(TokenBorrower.LoanRequest ask) {
      Vm lender = vms.get(ask.lender());
      send(lender, () -> lender.queues.onLoanConfirmed(ask.organisation(), ask.id()));
    }

    @Override
    public void giveBack(TokenBorrower.LoanRequest ask, int unused) {
      Vm lender = vms.get(ask.lender());
      send(lender, () -> lender.queues.onLoanReturned(ask.organisation(), ask.id(), unused));
    }

    @Override
    public void giveBack(VmId lender, OrganisationId organisation) {
      throw new AssertionError("no operation is refused after its admission");
    }
  }

  private final class CountingListener implements AdmissionListener {
    @Override
    public void onRequested(OrganisationId organisation) {
      requested++;
      requestedByOthers += organisation.equals(FLOODER) ? 0 : 1;
    }

    @Override
    public void onNoneLent() {
      noneLent++;
    }

    @Override
    public void onUnanswered() {
      unanswered++;
    }
  }

  private final boolean reserveForOthers;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final Map<VmId, Vm> vms = new HashMap<>();
  private final List<Vm> vmList = new ArrayList<>();
  private final Map<OrganisationId, RateLimiter.Limit> limits = new HashMap<>();
  private final Map<OrganisationId, Tally> tallies = new HashMap<>();
  private RateClaims claims = RateClaims.NONE;
  private long now;
  private long order;
  long requested;
  long requestedByOthers;
  long requestsOfFlooder;
  long tokenRequests;
  long noneLent;
  long unanswered;
  long lateRefusals;
  long lateRefusalsOfOthers;

  FloodSimulation(boolean reserveForOthers, long seed) {
    this.reserveForOthers = reserveForOthers;
    random = new Random(seed);
    for (int index = 0; index < ORGANISATIONS; index++) {
      double rate = index < LARGE ? 60 : index < LARGE + MEDIUM ? 20 : 6;
      limits.put(organisation(index), new RateLimiter.Limit(rate, rate));
      tallies.put(organisation(index), new Tally());
    }
    for (int index = 0; index < VMS; index++) {
      Vm vm = new Vm(new VmId("vm-" + index), index % 3 != 0);
      vms.put(vm.id, vm);
      vmList.add(vm);
    }
    claims = new RateClaimPlanner(vmList.get(0).id).planFirstClaims(claims, limits, vms.keySet());
    vmList.forEach(Vm::applyClaims);
    vmList.forEach(this::startTimers);
    limits.forEach(this::startCallers);
    schedule(
        LIVE_TIMEOUT.toNanos(),
        () -> vmList.stream().filter(vm -> vm.reachesStore).forEach(Vm::updateLenders));
  }

  private static OrganisationId organisation(int index) {
    return new OrganisationId("organisation-" + index);
  }

  private void schedule(long at, Runnable action) {
    events.add(new Event(at, order++, action));
  }

  private void repeat(long first, long interval, Runnable action) {
    schedule(
        first,
        () -> {
          action.run();
          repeat(now + interval, interval, action);
        });
  }

  private void startTimers(Vm vm) {
    long offset = random.nextInt((int) TICK.toNanos());
    repeat(offset, TICK.toNanos(), () -> vm.run(vm.queues::tick));
    if (vm.reachesStore) {
      long first = PLAN_INTERVAL.toNanos() + random.nextLong(PLAN_INTERVAL.toNanos());
      repeat(first, PLAN_INTERVAL.toNanos(), () -> vm.run(vm::plan));
    }
  }

  private void startCallers(OrganisationId organisation, RateLimiter.Limit limit) {
    List<Vm> homes = new ArrayList<>();
    for (int i = 0; i < CALLER_PARTS.length; i++) {
      homes.add(vmList.get(random.nextInt(VMS)));
    }
    double load = organisation.equals(FLOODER) ? FLOOD_FACTOR : USUAL_LOAD;
    // The buckets start with few tokens.
    schedule(5 * SECOND, () -> arrive(organisation, homes, limit.ratePerSecond() * load));
  }

  private void arrive(OrganisationId organisation, List<Vm> homes, double rate) {
    double place = random.nextDouble();
    int home = 0;
    while (place > CALLER_PARTS[home]) {
      home++;
    }
    Vm vm = homes.get(home);
    int target = TARGET_MILLIS[random.nextInt(TARGET_MILLIS.length)];
    vm.run(() -> vm.queues.submit(new Operation(organisation, target, vm)));
    long wait = (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND);
    schedule(now + wait, () -> arrive(organisation, homes, rate));
  }

  private void send(Vm to, Runnable action) {
    if (random.nextDouble() < LOSS) {
      return;
    }
    long delay = MILLI + random.nextInt((int) (3 * MILLI));
    if (random.nextInt(20) == 0) {
      delay += random.nextInt((int) (40 * MILLI));
    }
    schedule(now + delay, () -> to.run(action));
  }

  private Set<VmId> live() {
    Set<VmId> live = new HashSet<>(vms.keySet());
    if (now >= LIVE_TIMEOUT.toNanos()) {
      live.removeIf(vm -> !vms.get(vm).reachesStore);
    }
    return live;
  }

  private Set<VmId> lendersInView() {
    return reserveForOthers ? vms.keySet() : live();
  }

  /** Pauses a random VM for a time of up to three seconds, again and again. */
  void pauseVms() {
    repeat(
        6 * SECOND,
        2 * SECOND,
        () -> {
          Vm vm = vmList.get(random.nextInt(VMS));
          if (now >= vm.pausedUntil) {
            vm.pause((long) (random.nextDouble() * 3 * SECOND));
          }
        });
  }

  void run(Duration time) {
    long end = now + time.toNanos();
    while (!events.isEmpty() && events.peek().at < end) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    now = end;
  }

  /** Returns the refusals inside the rate, by second and summed over all VMs. */
  int refusedInsideRate(OrganisationId organisation) {
    Tally tally = tallies.get(organisation);
    int count = 0;
    for (Map.Entry<Long, Integer> each : tally.refusedBySecond.entrySet()) {
      int admitted = tally.admittedBySecond.getOrDefault(each.getKey(), 0);
      count +=
          new RateWindow(organisation, each.getKey(), 0, admitted, each.getValue())
              .refusedWithin(limits.get(organisation).ratePerSecond());
    }
    return count;
  }

  /** Returns the refusals inside the rate of all organisations but the one that floods. */
  int refusedInsideRateOfOthers() {
    return limits.keySet().stream()
        .filter(each -> !each.equals(FLOODER))
        .mapToInt(this::refusedInsideRate)
        .sum();
  }

  /** Returns how many other organisations had a refusal inside their rate. */
  long organisationsRefused() {
    return limits.keySet().stream()
        .filter(each -> !each.equals(FLOODER) && refusedInsideRate(each) > 0)
        .count();
  }

  long admitted(OrganisationId organisation) {
    return tallies.get(organisation).admittedAt.size();
  }

  /** Returns the organisations that had more than the bound admitted in any window of 5 s. */
  Set<OrganisationId> overBound() {
    Set<OrganisationId> over = new HashSet<>();
    limits.forEach(
        (organisation, limit) -> {
          double bound = (limit.ratePerSecond() * 5 + limit.burst()) * 1.1 + 20;
          if (maxAdmittedInWindow(tallies.get(organisation).admittedAt) > bound) {
            over.add(organisation);
          }
        });
    return over;
  }

  private static int maxAdmittedInWindow(List<Long> times) {
    int max = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) > 5 * SECOND) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  @Override
  public String toString() {
    return String.format(
        "requested %d (others %d), refused inside the rate %d of %d organisations, flooder: admitted"
            + " %d, refused inside the rate %d, token requests %d; late refusals %d (others %d),"
            + " token requests %d (none %d, unanswered %d)",
        requested,
        requestedByOthers,
        refusedInsideRateOfOthers(),
        organisationsRefused(),
        admitted(FLOODER),
        refusedInsideRate(FLOODER),
        requestsOfFlooder,
        lateRefusals,
        lateRefusalsOfOthers,
        tokenRequests,
        noneLent,
        unanswered);
  }
}
