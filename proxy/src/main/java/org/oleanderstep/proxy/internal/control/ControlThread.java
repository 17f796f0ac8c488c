package org.oleanderstep.proxy.internal.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.MonotonicClock;
import org.oleanderstep.core.admission.AdmissionController;
import org.oleanderstep.core.admission.ShareTable;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.failover.MemberStatus;
import org.oleanderstep.core.failover.PrimaryView;
import org.oleanderstep.core.membership.LocalPeerState;
import org.oleanderstep.core.membership.PeerIdentity;
import org.oleanderstep.core.membership.PeerTable;
import org.oleanderstep.core.membership.RendezvousHash;
import org.oleanderstep.core.membership.TrustDecision;
import org.oleanderstep.core.membership.TrustEvidence;
import org.oleanderstep.core.membership.TrustPolicy;
import org.oleanderstep.core.membership.WatcherElection;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.routing.GroupView;
import org.oleanderstep.core.routing.MemberView;
import org.oleanderstep.proxy.Version;
import org.oleanderstep.proxy.internal.convert.DurationConverter;
import org.oleanderstep.proxy.internal.convert.PositionConverter;
import org.oleanderstep.proxy.internal.convert.VmListConverter;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.platform.PlatformObject;
import org.oleanderstep.proxy.internal.rpc.MemberCalls;
import org.oleanderstep.proxy.internal.rpc.PeerCalls;
import org.oleanderstep.proxy.internal.traffic.Admission;
import org.oleanderstep.proxy.internal.traffic.ControlPlane;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;
import org.oleanderstep.proxy.internal.traffic.TrafficEvent;
import org.oleanderstep.proxy.internal.traffic.TrafficPlane;
import org.oleanderstep.schema.v1.DatabaseStatus;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.ProxyStatus;
import org.oleanderstep.schema.v1.VmList;

/**
 * The control plane of one proxy process.
 *
 * <pre>{@code
 * ControlThread control = new ControlThread(settings, memberCalls, peerCalls, platform, random);
 * control.start(traffic, peerAddress, callerAddress, drainTime -> ...);
 * }</pre>
 */
public final class ControlThread implements ControlPlane, AutoCloseable {

  private static final Logger logger = LogManager.getLogger(ControlThread.class);

  private static final int EVENT_QUEUE_CAPACITY = 8_192;
  private static final Duration EVENT_PERIOD = Duration.ofMillis(5);
  private static final Duration DECISION_PERIOD = Duration.ofMillis(50);
  private static final Duration TOKEN_PERIOD = Duration.ofMillis(100);
  private static final Duration PLATFORM_PERIOD = Duration.ofSeconds(1);
  private static final Duration HAND_OVER_PERIOD = Duration.ofSeconds(2);
  private static final Duration CATCH_UP_PERIOD = Duration.ofMillis(100);
  private static final int INSTANCE_BYTES = 8;

  private final ControlSettings settings;
  private final String vm;
  private final String failureDomain;
  private final String instance;
  private final MemberCalls memberCalls;
  private final PeerCalls peerCalls;
  private final PlatformClient platform;
  private final RandomGenerator random;
  private final MonotonicClock clock = System::nanoTime;
  private final ControlLoop loop;
  private final SnapshotPublisher publisher;
  private final TrustPolicy trustPolicy;
  private final ManyToOneConcurrentArrayQueue<TrafficEvent> events =
      new ManyToOneConcurrentArrayQueue<>(EVENT_QUEUE_CAPACITY);

  // Set by start() before the thread runs.
  private PeerTable peers;
  private GroupMonitors groups;
  private ConfigurationManager configuration;
  private PeerGossip gossip;
  private PlatformWatcher watcher;
  private IntentHandler intents;
  private Consumer<Duration> drainListener = time -> {};
  private volatile ShareManager shares;

  // Confined to the control thread.
  private boolean ready;
  private boolean leaving;
  private boolean trusted;
  private long seenGeneration;
  private long lastCatchUpAt;
  private long lastDecisionAt;

  /** Creates the control plane without starting it; see {@link #start}. */
  public ControlThread(
      ProxySettings proxySettings,
      MemberCalls memberCalls,
      PeerCalls peerCalls,
      PlatformClient platform,
      RandomGenerator random) {
    this.settings = ControlSettings.of(proxySettings);
    this.vm = proxySettings.getVm();
    this.failureDomain = proxySettings.getFailureDomain();
    this.memberCalls = memberCalls;
    this.peerCalls = peerCalls;
    this.platform = platform;
    this.random = random;
    this.instance = randomInstance(random);
    this.loop = new ControlLoop("control-" + vm, clock);
    this.trustPolicy = new TrustPolicy(settings.membership().configurationTrust());
    this.publisher = new SnapshotPublisher(trustPolicy, clock, initialSnapshot());
  }

  private static String randomInstance(RandomGenerator random) {
    byte[] bytes = new byte[INSTANCE_BYTES];
    random.nextBytes(bytes);
    StringBuilder text = new StringBuilder();
    for (byte octet : bytes) {
      text.append(String.format("%02x", octet));
    }
    return text.toString();
  }

  private ControlSnapshot initialSnapshot() {
    return new ControlSnapshot(
        new VmId(vm),
        instance,
        Optional.empty(),
        false,
        false,
        false,
        1,
        Map.of(),
        Map.of(),
        Set.of());
  }

  /**
   * Starts the control thread.
   *
   * @param peerAddress address on which this process serves its peers
   * @param onDrain called with the time allowed for open transactions when an operator or the
   *     platform asks this process to drain
   */
  public void start(
      TrafficPlane traffic, String peerAddress, String callerAddress, Consumer<Duration> onDrain) {
    PeerIdentity self =
        new PeerIdentity(new VmId(vm), instance, failureDomain, peerAddress, callerAddress);
    peers = new PeerTable(self, settings.membership());
    drainListener = onDrain;
    publisher.addReader(traffic);
    createComponents(self);
    schedule();
    loop.start();
  }

  private void createComponents(PeerIdentity self) {
    groups = new GroupMonitors(self, settings.failover(), loop, memberCalls, random, this::publish);
    configuration = new ConfigurationManager();
    PlatformEvidence evidence = new PlatformEvidence(platform, peers, loop);
    shares =
        new ShareManager(
            new AdmissionController(self.vm(), settings.admission()),
            peers,
            loop,
            peerCalls,
            platform,
            evidence);
    gossip =
        new PeerGossip(
            peers,
            settings.seedPeers(),
            loop,
            peerCalls,
            groups,
            configuration,
            shares,
            this::onVmList,
            random);
    intents = new IntentHandler(self.vm(), peers, groups, loop, peerCalls, platform, this::drain);
    watcher =
        new PlatformWatcher(
            platform, loop, peers, configuration, shares, evidence, new PlatformListener(), random);
    configuration.addListener(this::onConfiguration);
  }

  private final class PlatformListener implements PlatformWatcher.Listener {
    @Override
    public void onVmList(VmList list) {
      gossip.onVmList(list);
    }

    @Override
    public void onIntent(PlatformObject object, String name) {
      intents.onIntent(object, name);
    }
  }

  private void schedule() {
    loop.post(watcher::readAll);
    loop.every(EVENT_PERIOD, this::handleEvents);
    loop.every(DECISION_PERIOD, this::decide);
    loop.every(TOKEN_PERIOD, shares::tick);
    loop.every(settings.pollInterval(), groups::poll);
    loop.every(settings.membership().gossipInterval(), this::gossip);
    loop.every(PLATFORM_PERIOD, this::maintain);
    loop.every(
        HAND_OVER_PERIOD, () -> shares.handOverSlot(VmListConverter.toCore(gossip.vmList())));
  }

  // Periodic work.

  private void handleEvents() {
    events.drain(this::onEvent);
    groups.sendPendingRequests();
    if (shares.hasQueuedRequests()) {
      shares.tick();
    }
    updateTrust(loop.nanoTime());
    publish();
  }

  private void decide() {
    long now = loop.nanoTime();
    if (lastDecisionAt != 0 && now - lastDecisionAt > settings.admission().pauseLimit().toNanos()) {
      logger.warn(
          "this process was paused for {} ms", Duration.ofNanos(now - lastDecisionAt).toMillis());
      shares.onPause();
    }
    lastDecisionAt = now;
    groups.tick();
    watcher.tick(WatcherElection.isWatcher(peers, now));
    if (configuration.isBehind(seenGeneration)) {
      catchUp(now);
    }
  }

  private void gossip() {
    gossip.updateLocalState(localState());
    gossip.startRound();
    shares.checkGenerationConverged(configuration.generation());
  }

  private void maintain() {
    watcher.poll();
    maintainShares();
  }

  private void maintainShares() {
    if (watcher.isElected()) {
      shares.publishTableIfDue(VmListConverter.toCore(gossip.vmList()));
    }
  }

  private LocalPeerState localState() {
    return new LocalPeerState(
        configuration.generation(), shares.version(), ready, leaving, shares.tokens());
  }

  private void updateTrust(long now) {
    TrustDecision decision = trustPolicy.decide(peers.trustEvidence(now));
    if (decision.isTrusted() != trusted) {
      if (decision.isTrusted()) {
        logger.info("the configuration is trusted: {}", decision.reason().description());
      } else {
        logger.warn(
            "the configuration is not trusted, requests are refused: {}",
            decision.reason().description());
      }
    }
    trusted = decision.isTrusted();
    boolean nowReady = trusted && configuration.generation() > 0 && shares.version() > 0;
    if (nowReady && !ready) {
      logger.info(
          "ready with generation {} and share table {}",
          configuration.generation(),
          shares.version());
    }
    ready = nowReady;
  }

  private void publish() {
    Map<DatabaseId, GroupView> views = new LinkedHashMap<>();
    Map<MemberId, String> incarnations = new LinkedHashMap<>();
    groups
        .all()
        .forEach(
            (id, monitor) -> {
              views.put(id, monitor.view());
              incarnations.putAll(monitor.incarnations());
            });
    publisher.publish(
        new ControlSnapshot(
            new VmId(vm),
            instance,
            configuration.current(),
            ready,
            trusted,
            leaving,
            shares.table().map(ShareTable::holders).map(Set::size).orElse(1),
            views,
            incarnations,
            purgeDuties()),
        peers.trustEvidence(loop.nanoTime()));
  }

  private Set<DatabaseId> purgeDuties() {
    Set<DatabaseId> duties = new HashSet<>();
    for (DatabaseId database : groups.all().keySet()) {
      if (ranksFirstFor(database)) {
        duties.add(database);
      }
    }
    return duties;
  }

  private boolean ranksFirstFor(DatabaseId database) {
    String key = database.toString();
    long own = RendezvousHash.weight(key, vm);
    return peers.livePeers(loop.nanoTime()).stream()
        .allMatch(
            peer -> Long.compareUnsigned(RendezvousHash.weight(key, peer.vm().name()), own) <= 0);
  }

  // Changes of state.

  private void onConfiguration(Configuration adopted) {
    shares.onConfiguration(adopted);
    groups.onConfiguration(adopted);
    gossip.updateLocalState(localState());
    updateTrust(loop.nanoTime());
    // A withdrawn key must stop working at once, not with the next periodic snapshot.
    publish();
  }

  private void onVmList(VmList list) {
    boolean listedLeaving =
        list.getVmsList().stream().anyMatch(v -> v.getName().equals(vm) && v.getLeaving());
    if (listedLeaving && !leaving) {
      logger.info("the platform lists this VM as leaving");
      drain(settings.drainTime());
    }
    maintainShares();
  }

  private void drain(Duration drainTime) {
    if (leaving) {
      return;
    }
    logger.info("draining, open transactions have {}", drainTime);
    leaving = true;
    gossip.updateLocalState(localState());
    publish();
    drainListener.accept(drainTime);
  }

  /** Starts a gossip round to pull a generation that a session has seen on another proxy. */
  private void catchUp(long now) {
    if (now - lastCatchUpAt < CATCH_UP_PERIOD.toNanos()) {
      return;
    }
    lastCatchUpAt = now;
    gossip.updateLocalState(localState());
    gossip.startRound();
    gossip.pullNewer();
  }

  private void onEvent(TrafficEvent event) {
    if (event instanceof TrafficEvent.PositionSeen seen) {
      groups
          .monitor(seen.database())
          .ifPresent(m -> m.onPositionSeen(seen.member(), seen.incarnation(), seen.position()));
    } else if (event instanceof TrafficEvent.MemberConnectionFailed failed) {
      groups.monitor(failed.database()).ifPresent(m -> m.onConnectionFailed(failed.member()));
    } else if (event instanceof TrafficEvent.MemberRefusedWrite refused) {
      // Polls the member at once, since its status contains the term that it knows.
      groups.monitor(refused.database()).ifPresent(m -> m.onConnectionFailed(refused.member()));
    } else if (event instanceof TrafficEvent.GenerationSeen seen) {
      seenGeneration = Math.max(seenGeneration, seen.generation());
      if (configuration.isBehind(seenGeneration)) {
        catchUp(loop.nanoTime());
      }
    }
  }

  // Called from traffic threads.

  @Override
  public ControlSnapshot snapshot() {
    return publisher.read();
  }

  @Override
  public void report(TrafficEvent event) {
    boolean unused = events.offer(event);
  }

  @Override
  public void requestMemberStatus(DatabaseId database) {
    loop.post(() -> groups.monitor(database).ifPresent(GroupMonitor::requestFreshStatus));
  }

  @Override
  public CompletableFuture<Admission> admit(OrganisationId organisation, long deadlineNanos) {
    ShareManager manager = shares;
    if (manager != null && manager.tryAcquire(organisation, clock.nanoTime())) {
      return CompletableFuture.completedFuture(ShareManager.admitted());
    }
    CompletableFuture<Admission> result = new CompletableFuture<>();
    loop.post(() -> shares.enqueue(organisation, deadlineNanos, result));
    return result;
  }

  // Called by the gRPC services.

  ControlLoop loop() {
    return loop;
  }

  PeerGossip peerGossip() {
    return gossip;
  }

  ShareManager shareManager() {
    return shares;
  }

  ConfigurationManager configurationManager() {
    return configuration;
  }

  GroupMonitors groupMonitors() {
    return groups;
  }

  /** Starts the drain. Thread-safe. */
  public void requestDrain(Optional<Duration> drainTime) {
    loop.post(() -> drain(drainTime.orElse(settings.drainTime())));
  }

  /** Returns the status for operators. Not thread-safe; call only from the control thread. */
  ProxyStatus status() {
    long now = loop.nanoTime();
    ProxyStatus.Builder status =
        ProxyStatus.newBuilder()
            .setVm(vm)
            .setInstance(instance)
            .setVersion(Version.current())
            .setFailureDomain(failureDomain)
            .setConfigurationGeneration(configuration.generation())
            .setSharesVersion(shares.version())
            .setReady(ready)
            .setLeaving(leaving)
            .addAllLivePeers(
                peers.livePeers(now).stream().map(p -> p.vm().name()).sorted().toList());
    TrustEvidence evidence = peers.trustEvidence(now);
    evidence
        .platformContactAge()
        .ifPresent(age -> status.setPlatformContactAge(DurationConverter.toProto(age)));
    groups.all().forEach((id, monitor) -> status.addDatabases(status(id, monitor)));
    return status.build();
  }

  private static DatabaseStatus status(DatabaseId id, GroupMonitor monitor) {
    DatabaseStatus.Builder status =
        DatabaseStatus.newBuilder()
            .setService(id.service())
            .setDatabase(id.database())
            .setTerm(monitor.highestTerm())
            .setPrimary(monitor.primary().map(PrimaryView::member).map(MemberId::name).orElse(""));
    for (MemberView view : monitor.view().members()) {
      Optional<MemberStatus> last = monitor.lastStatus(view.member());
      status.addMembers(
          org.oleanderstep.schema.v1.MemberView.newBuilder()
              .setMember(view.member().name())
              .setRole(last.map(s -> s.role().name()).orElse(""))
              .setApplied(PositionConverter.toProto(view.applied()))
              .setReachable(view.reachable())
              .setLeaving(view.leaving()));
    }
    return status.build();
  }

  @Override
  public void close() {
    loop.close();
  }
}
