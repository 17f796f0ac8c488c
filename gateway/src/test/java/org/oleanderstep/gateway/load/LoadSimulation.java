package org.oleanderstep.gateway.load;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.oleanderstep.core.admission.RateLimiter;
import org.oleanderstep.core.admission.TokenBorrower;
import org.oleanderstep.core.admission.TokenLenders;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.gateway.Gateway;
import org.oleanderstep.gateway.control.GatewayConfiguration;
import org.oleanderstep.gateway.control.GatewayRoute;
import org.oleanderstep.gateway.control.LoadPolicy;
import org.oleanderstep.gateway.log.DecisionLog;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.CallerChannel;
import org.oleanderstep.gateway.session.FailureCode;
import org.oleanderstep.gateway.session.Session;
import org.oleanderstep.gateway.session.SessionMetrics;
import org.oleanderstep.gateway.session.SessionStatus;
import org.oleanderstep.gateway.session.Statement;

/** Six gateways in front of a service of three members, with callers of 21 organisations. */
final class LoadSimulation {

  /** What a load does to the usual one, whose statements use two fifths of the members' time. */
  record Load(double factor, double hotFactor, double tolerantFactor, boolean crowdAtStart) {}

  /** What the callers of one class, or of one organisation, have seen. */
  static final class Result {
    int due;
    int onTime;
    int served;
    int refused;
    int refusedLate;
    int answersOfRefusals;
    int refusedAtOnce;
    int attempts;

    double onTimeShare() {
      return due == 0 ? 1 : (double) onTime / due;
    }

    String describe() {
      return String.format(
          Locale.ROOT,
          "due %5d  on time %.3f  served %.3f  of the refusals at once %.3f  late %4d"
              + "  attempts %.2f",
          due,
          onTimeShare(),
          (double) served / due,
          answersOfRefusals == 0 ? 1 : (double) refusedAtOnce / answersOfRefusals,
          refusedLate,
          (double) attempts / due);
    }
  }

  private static final int VMS = 6;
  private static final int ORGANISATIONS = 21;
  private static final int CONNECTIONS = 24;
  private static final double SLOTS = 12;
  private static final double USUAL_UTILISATION = 0.4;
  private static final Duration WARM_UP = Duration.ofSeconds(2);
  private static final Duration DURATION =
      Duration.ofMillis(Long.getLong("oleanderstep.run.millis", 1_500));
  private static final OrganisationId HOT = new OrganisationId("org-0");

  private final EventClock clock = new EventClock();
  private final Random random;
  private final Load load;
  private final List<SlottedMember> members = new ArrayList<>();
  private final List<Gateway> gateways = new ArrayList<>();
  final Map<LoadClass, Result> byClass = new EnumMap<>(LoadClass.class);
  final Map<OrganisationId, Result> byOrganisation = new HashMap<>();
  final Set<String> refusedIds = new HashSet<>();
  private boolean measuring;
  private int nextId;

  LoadSimulation(LoadPolicy policy, Load load, long seed) {
    this.load = load;
    random = new Random(seed);
    for (int i = 0; i < 3; i++) {
      members.add(new SlottedMember(clock, "m" + i, i == 0));
    }
    for (int vm = 0; vm < VMS; vm++) {
      gateways.add(newGateway(policy));
    }
  }

  private Gateway newGateway(LoadPolicy policy) {
    Gateway gateway =
        new Gateway(
            "zone",
            policy,
            clock,
            (member, organisation, listener) ->
                members.get(member.id().name().charAt(1) - '0').connect(listener),
            new DecisionLog(clock::monotonicNanos),
            new SessionMetrics(new SimpleMeterRegistry()),
            new NoLenders());
    Map<String, GatewayRoute> routes = new HashMap<>();
    for (LoadClass each : LoadClass.values()) {
      routes.put(each.name(), each.route());
    }
    Map<String, OrganisationId> keys = new HashMap<>();
    Map<OrganisationId, RateLimiter.Limit> limits = new HashMap<>();
    Map<OrganisationId, Double> shares = new HashMap<>();
    for (int i = 0; i < ORGANISATIONS; i++) {
      OrganisationId organisation = new OrganisationId("org-" + i);
      keys.put(organisation.name(), organisation);
      limits.put(organisation, new RateLimiter.Limit(10_000, 10_000));
      shares.put(organisation, 1.0);
    }
    gateway.configure(
        new GatewayConfiguration(
            1, routes, keys, limits, Map.of("main", CONNECTIONS), Map.of(), Duration.ofSeconds(3)));
    gateway.updateVmCount(VMS);
    gateway.updateRateShares(shares);
    gateway.updateMembers(members.stream().map(SlottedMember::describe).toList());
    return gateway;
  }

  private static final class NoLenders implements TokenLenders {
    @Override
    public void ask(TokenBorrower.LoanRequest ask) {}

    @Override
    public void confirm(TokenBorrower.LoanRequest ask) {}

    @Override
    public void giveBack(TokenBorrower.LoanRequest ask, int unused) {}

    @Override
    public void giveBack(VmId lender, OrganisationId organisation) {}
  }

  /** Runs the load; it is measured after the connections are warm, or from the start on. */
  LoadSimulation run() {
    for (Gateway gateway : gateways) {
      clock.after(random.nextLong(20_000_000), () -> tick(gateway));
    }
    measuring = load.crowdAtStart();
    for (int i = 0; i < ORGANISATIONS; i++) {
      for (LoadClass each : LoadClass.values()) {
        OrganisationId organisation = new OrganisationId("org-" + i);
        scheduleArrival(organisation, each);
        if (load.crowdAtStart()) {
          gateways.forEach(g -> new Operation(organisation, each).start());
        }
      }
    }
    if (!load.crowdAtStart()) {
      clock.run(WARM_UP);
      measuring = true;
    }
    clock.run(DURATION);
    return this;
  }

  private void tick(Gateway gateway) {
    gateway.tick();
    clock.after(Gateway.TICK_INTERVAL.toNanos(), () -> tick(gateway));
  }

  private void scheduleArrival(OrganisationId organisation, LoadClass each) {
    double work = 0;
    for (LoadClass other : LoadClass.values()) {
      work += other.share * other.workMillis;
    }
    double perSecond = SLOTS * 1_000 / work * USUAL_UTILISATION * each.share / ORGANISATIONS;
    perSecond *= measuring ? factor(organisation, each) : 1;
    double gap = -Math.log(1 - random.nextDouble()) / perSecond;
    clock.after(
        (long) (gap * 1e9),
        () -> {
          new Operation(organisation, each).start();
          scheduleArrival(organisation, each);
        });
  }

  private double factor(OrganisationId organisation, LoadClass each) {
    return load.factor()
        * (organisation.equals(HOT) ? load.hotFactor() : 1)
        * (each == LoadClass.TOLERANT ? load.tolerantFactor() : 1);
  }

  boolean ranWhatWasRefused() {
    return members.stream().anyMatch(m -> m.executed.stream().anyMatch(refusedIds::contains));
  }

  int onTime() {
    return byClass.values().stream().mapToInt(r -> r.onTime).sum();
  }

  int connectionsOpened() {
    return members.stream().mapToInt(m -> m.opened).sum();
  }

  /**
   * Returns the smallest share that is served on time to an organisation that isn't the hot one.
   */
  double slowestOrganisation() {
    return byOrganisation.entrySet().stream()
        .filter(e -> !e.getKey().equals(HOT))
        .mapToDouble(e -> e.getValue().onTimeShare())
        .min()
        .orElse(1);
  }

  /** An operation of one statement, with at most two retries by its caller. */
  private final class Operation implements CallerChannel {
    private final OrganisationId organisation;
    private final LoadClass each;
    private final List<Result> results = new ArrayList<>();
    private final long startedAt = clock.monotonicNanos();
    private Gateway gateway;
    private Session session;
    private String id = "";
    private long sentAt;
    private int attempts;
    private boolean ended;

    private Operation(OrganisationId organisation, LoadClass each) {
      this.organisation = organisation;
      this.each = each;
      if (measuring) {
        results.add(byClass.computeIfAbsent(each, e -> new Result()));
        results.add(byOrganisation.computeIfAbsent(organisation, o -> new Result()));
      }
    }

    private void start() {
      results.forEach(r -> r.due++);
      clock.after(each.limitNanos, this::giveUp);
      attempt();
    }

    private void attempt() {
      if (ended) {
        return;
      }
      attempts++;
      results.forEach(r -> r.attempts++);
      gateway = gateways.get(random.nextInt(VMS));
      session = gateway.newSession(this);
      session.open(each.name(), organisation.name());
      nextId++;
      id = "id-" + nextId;
      sentAt = clock.monotonicNanos();
      long work = (long) (each.workMillis * 1e6 * (0.5 + random.nextDouble()));
      session.execute(Statement.plain(id, each.kind, each.kind + " x " + work));
    }

    @Override
    public void answer(Answer answer, SessionStatus status) {
      clock.after(0, () -> gateway.remove(session));
      long now = clock.monotonicNanos();
      if (answer instanceof Answer.Success) {
        ended = true;
        boolean onTime = now - startedAt <= each.targetNanos;
        results.forEach(r -> r.served++);
        results.forEach(r -> r.onTime += onTime ? 1 : 0);
        return;
      }
      onFailure((Answer.Failure) answer, now);
    }

    private void onFailure(Answer.Failure failure, long now) {
      boolean late = now - sentAt > each.targetNanos / 4;
      if (failure.code().notRun()) {
        refusedIds.add(id);
        results.forEach(r -> r.answersOfRefusals++);
        results.forEach(r -> r.refusedAtOnce += now == sentAt ? 1 : 0);
      }
      long delay = 50_000_000 + random.nextLong(50_000_000);
      if (failure.code().notRun() && attempts < 3 && now + delay - startedAt < each.limitNanos) {
        clock.after(delay, this::attempt);
        return;
      }
      ended = true;
      results.forEach(r -> r.refused++);
      results.forEach(r -> r.refusedLate += late ? 1 : 0);
    }

    private void giveUp() {
      if (!ended) {
        ended = true;
        results.forEach(r -> r.refusedLate++);
        gateway.remove(session);
      }
    }

    @Override
    public void opened() {}

    @Override
    public void refuse(FailureCode code, String text) {
      throw new AssertionError("the session was refused: " + code + " " + text);
    }

    @Override
    public void close() {}

    @Override
    public boolean isReceiving() {
      return false;
    }

    @Override
    public void runAfterInput(Runnable action) {
      clock.after(0, action);
    }
  }
}
