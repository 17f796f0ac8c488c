package org.oleanderstep.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.oleanderstep.core.admission.BorrowingPolicy;
import org.oleanderstep.core.admission.DemandMeter;
import org.oleanderstep.core.admission.RateLimiter;
import org.oleanderstep.core.admission.TokenBorrower;
import org.oleanderstep.core.admission.TokenLenders;
import org.oleanderstep.core.freshness.SuspendAwareClock;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.placement.EvacuatedDomains;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.scheduling.ColdShare;
import org.oleanderstep.gateway.control.ColdBounds;
import org.oleanderstep.gateway.control.GatewayConfiguration;
import org.oleanderstep.gateway.control.LoadPolicy;
import org.oleanderstep.gateway.control.MemberDirectory;
import org.oleanderstep.gateway.control.TargetMember;
import org.oleanderstep.gateway.log.DecisionLog;
import org.oleanderstep.gateway.session.AdmissionQueues;
import org.oleanderstep.gateway.session.CallerChannel;
import org.oleanderstep.gateway.session.Session;
import org.oleanderstep.gateway.session.SessionEnvironment;
import org.oleanderstep.gateway.session.SessionMetrics;
import org.oleanderstep.gateway.target.ServicePool;
import org.oleanderstep.gateway.target.TargetConnector;

/**
 * Serves all sessions of one VM.
 *
 * <pre>{@code
 * Gateway gateway = new Gateway(failureDomain, policy, clock, connector, log, metrics, lenders);
 * gateway.configure(configuration);
 * gateway.updateMembers(members);
 * Session session = gateway.newSession(channel);
 * }</pre>
 *
 * <p>Not thread-safe; call only from the traffic thread. That thread must call {@link #tick} every
 * {@link #TICK_INTERVAL}.
 */
public final class Gateway implements SessionEnvironment {

  /** Interval at which {@link #tick} must be called. */
  public static final Duration TICK_INTERVAL = Duration.ofMillis(20);

  private static final Duration METER_INTERVAL = Duration.ofMillis(500);
  private static final GatewayConfiguration EMPTY_CONFIGURATION =
      new GatewayConfiguration(
          0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Duration.ofSeconds(3));
  private static final int DEFAULT_CONNECTION_LIMIT = 8;

  private final String failureDomain;
  private final LoadPolicy policy;
  private final SuspendAwareClock clock;
  private final TargetConnector connector;
  private final DecisionLog log;
  private final SessionMetrics metrics;
  private final RateLimiter rates = new RateLimiter();
  private final TokenBorrower borrower;
  private final Map<String, ServicePool> services = new HashMap<>();
  private final Set<Session> sessions = new LinkedHashSet<>();
  private GatewayConfiguration configuration = EMPTY_CONFIGURATION;
  private final MemberDirectory directory = new MemberDirectory();
  private Map<OrganisationId, Double> rateShares = Map.of();
  private Map<OrganisationId, Map<VmId, Double>> lenderShares = Map.of();
  private Map<OrganisationId, Double> demand = Map.of();
  private final DemandMeter demandMeter;
  private final AdmissionQueues admission;
  private long meterRolledAt;
  private int vmCount = 1;
  private EvacuatedDomains evacuated = EvacuatedDomains.NONE;
  private ColdBounds coldBounds = ColdBounds.DEFAULT;
  private VmId self = new VmId("-");
  private Set<VmId> knownVms = Set.of();
  private boolean accepting = true;

  /** Creates a gateway without routes and members. */
  public Gateway(
      String failureDomain,
      LoadPolicy policy,
      SuspendAwareClock clock,
      TargetConnector connector,
      DecisionLog log,
      SessionMetrics metrics,
      TokenLenders lenders) {
    this.failureDomain = failureDomain;
    this.policy = policy;
    this.clock = clock;
    this.connector = connector;
    this.log = log;
    this.metrics = metrics;
    meterRolledAt = clock.monotonicNanos();
    demandMeter = new DemandMeter(meterRolledAt);
    borrower =
        new TokenBorrower(
            ThreadLocalRandom.current().nextLong(), BorrowingPolicy.of(policy.reserveForOthers()));
    admission = new AdmissionQueues(rates, borrower, demandMeter, clock, lenders, log, metrics);
  }

  /** Applies a configuration, unless its version is not newer than the current one. */
  public void configure(GatewayConfiguration update) {
    if (update.version() <= configuration.version()) {
      if (update.version() < configuration.version()) {
        log.stateChange("configuration_outdated")
            .with("offered", update.version())
            .with("version", configuration.version())
            .write();
      }
      return;
    }
    log.stateChange("configuration")
        .with("version", update.version())
        .with("previous", configuration.version())
        .with("routes", update.routes().size())
        .write();
    configuration = update;
    applyRates();
    services.values().forEach(service -> service.updateWeights(weights()));
    updateServices();
  }

  /** Updates the share of each organisation's rate that this VM may use. */
  public void updateRateShares(Map<OrganisationId, Double> update) {
    if (!update.equals(rateShares)) {
      rateShares = Map.copyOf(update);
      applyRates();
    }
  }

  /** Updates the rate shares of the VMs that can lend tokens. */
  public void updateLenders(Map<OrganisationId, Map<VmId, Double>> update) {
    lenderShares = update;
    borrower.update(configuration.limits(), lenderShares);
  }

  /** Returns the measured demand in operations per second, by organisation. */
  public Map<OrganisationId, Double> demand() {
    return demand;
  }

  /** Updates the number of VMs that share the connection limits. */
  public void updateVmCount(int count) {
    if (count == vmCount || count < 1) {
      return;
    }
    log.stateChange("vms").with("count", count).with("previous", vmCount).write();
    vmCount = count;
    updateServices();
  }

  /**
   * Updates what the parts in the requests of cold members are computed from.
   *
   * @param vms all known VMs, also those that have stopped; empty while they are not known yet
   */
  public void updateKnownVms(VmId thisVm, Set<VmId> vms) {
    if (!thisVm.equals(self) || !vms.equals(knownVms)) {
      self = thisVm;
      knownVms = Set.copyOf(vms);
      services.forEach((name, service) -> service.updateColdShare(coldShare(name)));
    }
  }

  /** Replaces the bounds of the platform for cold members. */
  public void limitColdMembers(ColdBounds bounds) {
    coldBounds = bounds;
    services.forEach((name, service) -> service.updateColdShare(coldShare(name)));
  }

  private ColdShare coldShare(String service) {
    double rate = configuration.coldRates().getOrDefault(service, 0.0);
    return new ColdShare(coldBounds.requestsPerSecond(rate), self, knownVms);
  }

  /**
   * Replaces the failure domains to whose members nothing may be sent. Transactions there are ended
   * at once; statements that were sent get their reply.
   */
  public void updateEvacuations(EvacuatedDomains update) {
    EvacuatedDomains before = evacuated;
    evacuated = update;
    update.begunSince(before).forEach(domain -> logEvacuation("evacuation_begun", domain));
    before.begunSince(update).forEach(domain -> logEvacuation("evacuation_ended", domain));
    // No service may send to an evacuated member when the end of a connection of another service
    // lets a caller go on.
    services.values().forEach(service -> service.updateEvacuated(update));
    services.values().forEach(ServicePool::closeEvacuated);
    recordEvacuatedMembers();
  }

  private void logEvacuation(String event, String domain) {
    log.stateChange(event)
        .with("failure_domain", domain)
        .with("members", directory.members().stream().filter(m -> isIn(domain, m)).count())
        .with(
            "primaries",
            directory.members().stream().filter(m -> isIn(domain, m) && m.claimsPrimary()).count())
        .write();
  }

  private static boolean isIn(String domain, TargetMember member) {
    return member.failureDomain().equals(domain);
  }

  private void recordEvacuatedMembers() {
    long members =
        directory.members().stream()
            .filter(m -> !evacuated.accessTo(m.failureDomain()).allowsSending())
            .count();
    metrics.targets().recordEvacuatedMembers((int) members);
  }

  private void applyRates() {
    rates.update(configuration.limits(), rateShares, clock.monotonicNanos());
    borrower.update(configuration.limits(), lenderShares);
  }

  private Map<OrganisationId, Double> weights() {
    Map<OrganisationId, Double> weights = new HashMap<>();
    configuration.limits().forEach((name, limit) -> weights.put(name, limit.ratePerSecond()));
    return weights;
  }

  /** Updates the members of all services. */
  public void updateMembers(Collection<TargetMember> update) {
    directory.update(update, clock.monotonicNanos());
    updateServices();
  }

  private void updateServices() {
    Set<String> names = new HashSet<>(configuration.connectionLimits().keySet());
    names.addAll(services.keySet());
    for (String name : names) {
      ServicePool service = services.computeIfAbsent(name, this::newService);
      service.updateEvacuated(evacuated);
      service.updateColdShare(coldShare(name));
      service.update(membersOf(name), connectionsPerMember(name));
    }
    recordEvacuatedMembers();
  }

  private ServicePool newService(String name) {
    ServicePool service =
        new ServicePool(name, failureDomain, policy, clock, connector, log, metrics.targets());
    service.updateWeights(weights());
    return service;
  }

  private List<TargetMember> membersOf(String service) {
    return directory.members().stream().filter(m -> m.service().equals(service)).toList();
  }

  private int connectionsPerMember(String service) {
    int limit = configuration.connectionLimits().getOrDefault(service, DEFAULT_CONNECTION_LIMIT);
    return Math.max(1, limit / vmCount);
  }

  /** Creates the session of a caller that has just connected. */
  public Session newSession(CallerChannel channel) {
    Session session = new Session(this, channel);
    sessions.add(session);
    if (!accepting) {
      session.refuseNewWork();
    }
    return session;
  }

  /** Ends and removes a session after its caller has disconnected. */
  public void remove(Session session) {
    session.disconnected();
    sessions.remove(session);
  }

  /** Returns the number of sessions. */
  public int sessions() {
    return sessions.size();
  }

  /** Closes each session as soon as it is idle. */
  public void closeIdleSessions() {
    List.copyOf(sessions).forEach(Session::closeWhenIdle);
  }

  /** Closes each session of the given services as soon as it is idle. */
  public void closeIdleSessions(Set<String> affected) {
    List.copyOf(sessions).forEach(session -> session.closeWhenIdle(affected));
  }

  /**
   * Starts nothing new: refuses sessions that open from now on, and statements of open sessions
   * that would need a member.
   */
  public void stopAccepting() {
    accepting = false;
    List.copyOf(sessions).forEach(Session::refuseNewWork);
  }

  /** Answers every outstanding statement now, and closes all sessions. */
  public void endSessions() {
    List.copyOf(sessions)
        .forEach(session -> runGuarded("session", session::end, session::terminate));
  }

  /** Rolls back all open transactions that are not executing a statement. */
  public void abortTransactions() {
    List.copyOf(sessions).forEach(Session::abortTransaction);
  }

  /**
   * Asks members of a service which log position each has received. The result has the positions of
   * those that have answered in time; it never fails.
   */
  public CompletableFuture<Map<MemberId, LogPosition>> askPositions(
      String service, Set<MemberId> members) {
    ServicePool pool = services.get(service);
    return pool == null ? CompletableFuture.completedFuture(Map.of()) : pool.askPositions(members);
  }

  /** Returns the pools of all services by name. */
  public Map<String, ServicePool> services() {
    return Collections.unmodifiableMap(services);
  }

  /** Applies timeouts and performs the periodic work of the gateway. */
  public void tick() {
    long now = clock.monotonicNanos();
    if (now - meterRolledAt > METER_INTERVAL.toNanos()) {
      meterRolledAt = now;
      demand = demandMeter.endInterval(now);
    }
    if (directory.expire(now)) {
      updateServices();
    }
    admission.tick();
    services.values().forEach(service -> runGuarded("service", service::tick, () -> {}));
    tickActiveSessions(now);
  }

  // Most sessions are idle. The active ones are collected first, because a tick may end a session.
  private void tickActiveSessions(long now) {
    List<Session> active = new ArrayList<>();
    for (Session session : sessions) {
      if (session.isActive()) {
        active.add(session);
      }
    }
    active.forEach(session -> runGuarded("session", () -> session.tick(now), session::terminate));
  }

  // A defect that concerns one service or session must not stop the timeouts of all others.
  private void runGuarded(String subject, Runnable step, Runnable onFailure) {
    try {
      step.run();
    } catch (RuntimeException e) {
      log.stateChange("step_failed").with("subject", subject).with("reason", e).write();
      runGuarded(subject, onFailure, () -> {});
    }
  }

  @Override
  public GatewayConfiguration configuration() {
    return configuration;
  }

  @Override
  public AdmissionQueues admission() {
    return admission;
  }

  @Override
  public String describeRate(OrganisationId organisation) {
    RateLimiter.Limit limit = configuration.limits().get(organisation);
    double rate = limit == null ? 0 : limit.ratePerSecond();
    double part = rateShares.getOrDefault(organisation, 0.0);
    return String.format(Locale.ROOT, "%.3f of %.1f/s", part, rate);
  }

  @Override
  public Optional<ServicePool> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  @Override
  public SuspendAwareClock clock() {
    return clock;
  }

  @Override
  public DecisionLog log() {
    return log;
  }

  @Override
  public SessionMetrics metrics() {
    return metrics;
  }
}
