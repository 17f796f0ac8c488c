package org.oleanderstep.core.membership;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.oleanderstep.core.configuration.AdoptionResult;
import org.oleanderstep.core.configuration.Configuration;
import org.oleanderstep.core.configuration.ConfigurationAdopter;
import org.oleanderstep.core.configuration.Declarations;
import org.oleanderstep.core.configuration.Key;
import org.oleanderstep.core.configuration.KeyVerifier;
import org.oleanderstep.core.configuration.Organisation;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.simulation.EventLoop;

/**
 * Simulates five proxies of one failure domain that propagate configurations by gossip. Two of them
 * watch the platform. The seed determines the network delays, partitions, pauses, restarts and
 * outages of the platform.
 *
 * <p>The operator publishes only while a majority of the proxies can reach the platform; the design
 * states that the other case is not proved.
 */
final class GossipSimulation {

  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000 * MILLI;
  private static final long START = 100 * SECOND;
  private static final int PROXIES = 5;
  private static final int KEYS = 200;
  private static final long GOSSIP_INTERVAL = 500 * MILLI;
  private static final long WATCH_TIMEOUT = SECOND;
  private static final long PLATFORM_TIMEOUT = SECOND + 500 * MILLI;

  /** A defect of the implementation that the checks must detect. */
  enum Mutant {
    NONE,
    ADOPT_BY_ARRIVAL,
    TRUST_WITHOUT_LIMIT,
    REQUESTS_ARE_EVIDENCE,
    ANSWERS_COUNT_FROM_ARRIVAL,
    SESSION_GENERATION_IGNORED,
    NEWER_NOT_PULLED
  }

  private final class Proxy {
    private final VmId vm;
    private PeerTable table;
    private ConfigurationAdopter adopter;
    private GossipPeerSelector selector;
    private TrustPolicy trustPolicy;
    private String processId = "";
    private long startedAt;
    private long pausedUntil;

    Proxy(int index) {
      vm = new VmId("vm-" + index);
    }

    void start() {
      processId = vm.name() + "#" + startedProcesses++;
      startedAt = now();
      table =
          new PeerTable(
              new PeerIdentity(vm, processId, "a", vm.name(), vm.name()),
              MembershipSettings.DEFAULT);
      adopter = new ConfigurationAdopter();
      selector = new GossipPeerSelector(random);
      trustPolicy =
          new TrustPolicy(
              mutant == Mutant.TRUST_WITHOUT_LIMIT
                  ? Duration.ofHours(1)
                  : MembershipSettings.DEFAULT.configurationTrust());
      String ofProcessId = processId;
      schedule(ofProcessId, now(), () -> gossip(ofProcessId));
      schedule(ofProcessId, now(), () -> requestFromPlatform(ofProcessId, true));
    }

    /** Runs a body in a process. What falls into a pause runs after it, in random order. */
    void schedule(String ofProcessId, long time, Runnable body) {
      loop.at(
          time,
          () -> {
            if (now() < pausedUntil) {
              schedule(ofProcessId, pausedUntil + random.nextInt(2_000_000), body);
            } else if (processId.equals(ofProcessId)) {
              body.run();
            }
          });
    }

    private void gossip(String ofProcessId) {
      List<String> seeds = List.of("vm-0", "vm-3");
      selector.selectPeers(table, seeds, now()).forEach(this::exchange);
      schedule(ofProcessId, now() + GOSSIP_INTERVAL, () -> gossip(ofProcessId));
    }

    private void exchange(String address) {
      Proxy peer = proxies.get(address);
      String from = processId;
      long sentAt = now();
      PeerDigest digest = table.digest(now());
      transmit(
          this,
          peer,
          () -> {
            PeerDigest reply = peer.table.onRequest(digest, now());
            if (mutant == Mutant.REQUESTS_ARE_EVIDENCE) {
              peer.table.onReply(digest, now(), now());
            }
            peer.pullNewest();
            transmit(peer, this, from, () -> onReply(reply, sentAt));
          });
    }

    private void onReply(PeerDigest reply, long sentAt) {
      long asOf = mutant == Mutant.ANSWERS_COUNT_FROM_ARRIVAL ? now() : sentAt;
      table.onReply(reply, asOf, now());
      pullNewest();
    }

    private void pullNewest() {
      if (mutant == Mutant.NEWER_NOT_PULLED) {
        return;
      }
      table
          .peerWithNewestConfiguration(now())
          .ifPresent(peer -> pull(proxies.get(peer.vm().name())));
    }

    private void pull(Proxy peer) {
      String from = processId;
      transmit(
          this,
          peer,
          () ->
              peer.adopter
                  .current()
                  .ifPresent(held -> transmit(peer, this, from, () -> offer(held))));
    }

    private void offer(Configuration offered) {
      if (mutant == Mutant.ADOPT_BY_ARRIVAL && adopter.generation() != offered.generation()) {
        adopter = new ConfigurationAdopter();
      }
      if (adopter.offer(offered) instanceof AdoptionResult.Adopted) {
        table.updateLocalState(new LocalPeerState(adopter.generation(), 0, true, false, Map.of()));
        history.recordAdoption(now(), processId, adopter.generation());
      }
    }

    /** Reads the platform's state once after the start, and watches it while elected as watcher. */
    private void requestFromPlatform(String ofProcessId, boolean read) {
      if (!read && !WatcherElection.isWatcher(table, now())) {
        schedule(
            ofProcessId, now() + GOSSIP_INTERVAL, () -> requestFromPlatform(ofProcessId, false));
        return;
      }
      long sentAt = now();
      long heldGeneration = read ? 0 : adopter.generation();
      boolean[] answered = {false};
      loop.at(
          now() + delay(),
          () -> watch(ofProcessId, heldGeneration, sentAt, sentAt + WATCH_TIMEOUT, answered));
      schedule(
          ofProcessId,
          now() + PLATFORM_TIMEOUT,
          () -> {
            if (!answered[0]) {
              answered[0] = true;
              requestFromPlatform(ofProcessId, adopter.generation() == 0);
            }
          });
    }

    private void watch(
        String ofProcessId, long heldGeneration, long sentAt, long end, boolean[] answered) {
      if (!reachesPlatform(this)) {
        return;
      }
      if (publishedConfiguration.generation() <= heldGeneration && now() < end) {
        loop.at(
            now() + 20 * MILLI, () -> watch(ofProcessId, heldGeneration, sentAt, end, answered));
        return;
      }
      Configuration answer = publishedConfiguration;
      VmList list = vmList;
      schedule(
          ofProcessId,
          now() + delay(),
          () -> {
            if (answered[0] && mutant != Mutant.ANSWERS_COUNT_FROM_ARRIVAL) {
              return;
            }
            boolean first = !answered[0];
            answered[0] = true;
            onPlatformAnswer(answer, list, sentAt);
            if (first) {
              requestFromPlatform(ofProcessId, false);
            }
          });
    }

    private void onPlatformAnswer(Configuration answer, VmList list, long sentAt) {
      offer(answer);
      table.onVmList(list);
      if (adopter.generation() == answer.generation()) {
        table.onPlatformContact(mutant == Mutant.ANSWERS_COUNT_FROM_ARRIVAL ? now() : sentAt);
      }
    }

    private boolean isTrusted() {
      return trustPolicy.decide(table.trustEvidence(now())).isTrusted();
    }

    void callWithKey(String keyId) {
      Optional<Configuration> configuration = adopter.current();
      if (configuration.isEmpty() || !isTrusted()) {
        refusedUntrusted++;
        return;
      }
      byte[] secret = secret(keyId);
      if (KeyVerifier.verify(configuration.get(), keyId, secret).status().isAccepted()) {
        history.recordAcceptedCall(now(), processId, keyId);
      }
    }

    void callInSession(long[] sessionGeneration) {
      boolean behind =
          adopter.isBehind(sessionGeneration[0]) && mutant != Mutant.SESSION_GENERATION_IGNORED;
      if (adopter.generation() == 0 || behind) {
        return;
      }
      sessionGeneration[0] = adopter.generation();
      history.recordServedCall("session", adopter.generation());
    }
  }

  private final Random random;
  private final Mutant mutant;
  private final EventLoop loop = new EventLoop(START);
  private final ConfigurationHistory history = new ConfigurationHistory();
  private final Map<String, Proxy> proxies = new TreeMap<>();
  private final Set<String> partitionedVms = new TreeSet<>();
  private Configuration publishedConfiguration = configuration(1);
  private VmList vmList;
  private boolean platformUp = true;
  private long faultFreeSince = START + 3 * SECOND;
  private long startedProcesses;
  private long refusedUntrusted;

  GossipSimulation(long seed, Mutant mutant) {
    this.random = new Random(seed);
    this.mutant = mutant;
    Set<VmId> vms = new HashSet<>();
    for (int index = 0; index < PROXIES; index++) {
      Proxy proxy = new Proxy(index);
      proxies.put(proxy.vm.name(), proxy);
      vms.add(proxy.vm);
    }
    vmList = new VmList(1, vms, Set.of());
  }

  private static byte[] secret(String keyId) {
    return ("secret of " + keyId).getBytes(StandardCharsets.UTF_8);
  }

  // Each generation withdraws one more key.
  private static Configuration configuration(long generation) {
    List<Key> keys = new ArrayList<>();
    for (int index = 2; index < KEYS; index++) {
      String id = "k" + index;
      boolean withdrawn = index <= generation;
      keys.add(new Key(id, "org", KeyVerifier.sha256(secret(id)), withdrawn));
    }
    Declarations declarations =
        new Declarations(
            List.of(new Organisation("org", 10, 10)),
            keys,
            List.of(),
            List.of(),
            List.of(),
            List.of());
    return new Configuration(generation, "p" + generation, Instant.EPOCH, declarations);
  }

  private long now() {
    return loop.nanoTime();
  }

  private long delay() {
    return 300_000L + random.nextInt(1_500_000);
  }

  private boolean reachesPlatform(Proxy proxy) {
    return platformUp && !partitionedVms.contains(proxy.vm.name());
  }

  private boolean areConnected(Proxy a, Proxy b) {
    return partitionedVms.contains(a.vm.name()) == partitionedVms.contains(b.vm.name());
  }

  private void transmit(Proxy from, Proxy to, Runnable body) {
    transmit(from, to, null, body);
  }

  /**
   * Delivers a message unless it is lost. A few messages are delayed.
   *
   * @param toProcessId process that must still run on the receiving VM, or null for any
   */
  private void transmit(Proxy from, Proxy to, String toProcessId, Runnable body) {
    if (!areConnected(from, to) || random.nextInt(100) < 2) {
      return;
    }
    long extraDelay = random.nextInt(100) < 5 ? random.nextInt(1_500) * MILLI : 0;
    loop.at(
        now() + delay() + extraDelay,
        () -> {
          String processId = toProcessId == null ? to.processId : toProcessId;
          to.schedule(processId, now(), body);
        });
  }

  /** Runs the simulation for the given simulated time. */
  GossipSimulation run(int seconds) {
    proxies.values().forEach(Proxy::start);
    loop.at(START + 4 * SECOND, this::publish);
    loop.at(START + SECOND, this::callAllProxies);
    long[] sessionGeneration = {0};
    loop.at(START + SECOND, () -> callWithSession(sessionGeneration));
    loop.at(START + 8 * SECOND, this::injectFault);
    loop.runUntil(START + seconds * SECOND);
    return this;
  }

  private void publish() {
    if (platformUp) {
      long generation = publishedConfiguration.generation() + 1;
      publishedConfiguration = configuration(generation);
      history.recordPublication(now(), generation, "k" + generation);
    }
    loop.at(now() + SECOND + random.nextInt(4_000) * MILLI, this::publish);
  }

  // Calls every proxy with the keys that the latest generations withdrew and the one that the next
  // will withdraw.
  private void callAllProxies() {
    for (Proxy proxy : proxies.values()) {
      long newest = publishedConfiguration.generation();
      for (long index = Math.max(2, newest - 8); index <= newest + 1; index++) {
        String keyId = "k" + index;
        proxy.schedule(proxy.processId, now(), () -> proxy.callWithKey(keyId));
      }
      if (now() - faultFreeSince >= ConfigurationHistory.PROPAGATION_BOUND
          && now() - proxy.startedAt >= ConfigurationHistory.PROPAGATION_BOUND) {
        history.recordConnectedObservation(now(), proxy.processId, proxy.adopter.generation());
      }
    }
    loop.at(now() + 50 * MILLI, this::callAllProxies);
  }

  private void callWithSession(long[] sessionGeneration) {
    Proxy proxy = anyProxy();
    proxy.schedule(proxy.processId, now(), () -> proxy.callInSession(sessionGeneration));
    loop.at(now() + 30 * MILLI, () -> callWithSession(sessionGeneration));
  }

  private Proxy anyProxy() {
    return proxies.get("vm-" + random.nextInt(PROXIES));
  }

  private void injectFault() {
    long length = SECOND + random.nextInt(9_000) * MILLI;
    switch (random.nextInt(5)) {
      case 0 -> partition(1);
      case 1 -> partition(2);
      case 2 -> platformUp = false;
      case 3 -> anyProxy().pausedUntil = now() + length;
      default -> anyProxy().start();
    }
    faultFreeSince = now() + length;
    loop.at(now() + length, this::endFault);
    loop.at(now() + length + 5 * SECOND + random.nextInt(5_000) * MILLI, this::injectFault);
  }

  private void partition(int count) {
    while (partitionedVms.size() < count) {
      partitionedVms.add("vm-" + random.nextInt(PROXIES));
    }
  }

  private void endFault() {
    partitionedVms.clear();
    platformUp = true;
  }

  ConfigurationHistory history() {
    return history;
  }

  /** Returns the number of calls refused because the configuration was untrusted or missing. */
  long refusedUntrusted() {
    return refusedUntrusted;
  }

  /** Returns the newest published generation. */
  long publishedGeneration() {
    return publishedConfiguration.generation();
  }
}
