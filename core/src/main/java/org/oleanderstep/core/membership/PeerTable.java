package org.oleanderstep.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.oleanderstep.core.model.VmId;

/**
 * The last known states of all proxies, merged from the digests that peers exchange.
 *
 * <pre>{@code
 * // caller                                         // called peer
 * long sentAt = now;
 * PeerDigest reply = peer.exchange(table.digest(now)); // table.onRequest(digest, now)
 * table.onReply(reply, sentAt, now);
 * }</pre>
 *
 * <p>Only a reply proves that a peer is running and what it knows. A reply was created after its
 * request was sent, whereas a request may have waited in a socket buffer while this process was
 * paused. The ages are counted from the sending of the request and are therefore upper bounds.
 *
 * <p>Not thread-safe; call only from the control thread. All times are nanoseconds of a {@link
 * org.oleanderstep.core.MonotonicClock}.
 */
public final class PeerTable {

  // Age of a peer that is known only from a request, which does not prove that the peer is running.
  // The age must not count as recent, because other proxies relay it.
  private static final Duration UNVERIFIED_AGE = Duration.ofDays(365);
  private static final Comparator<VmId> BY_NAME = Comparator.comparing(VmId::name);

  private final PeerIdentity self;
  private final MembershipSettings settings;
  private final Map<VmId, Entry> entries = new TreeMap<>(BY_NAME);
  private LocalPeerState localState = LocalPeerState.INITIAL;
  private long sequence;
  private Optional<VmList> vmList = Optional.empty();
  private Optional<PeerState> newerConfigurationHint = Optional.empty();
  private Optional<Long> platformContactAt = Optional.empty();
  private Optional<Long> majorityContactAt = Optional.empty();

  /** A state and the earliest time at which it can have been created. */
  private static final class Entry {
    private PeerState state;
    private long createdAt;

    Entry(PeerState state, long madeAt) {
      this.state = state;
      this.createdAt = madeAt;
    }
  }

  /** Creates the table of a process that has just started. */
  public PeerTable(PeerIdentity self, MembershipSettings settings) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  public PeerIdentity self() {
    return self;
  }

  /** Replaces the state of this process; call it before {@link #digest}. */
  public void updateLocalState(LocalPeerState state) {
    localState = state;
  }

  /** Returns the digest to send now. */
  public PeerDigest digest(long now) {
    sequence++;
    PeerState sender =
        new PeerState(
            self.vm(),
            self.instance(),
            sequence,
            self.failureDomain(),
            self.peerAddress(),
            self.callerAddress(),
            localState.configurationGeneration(),
            localState.sharesVersion(),
            ageOf(platformContactAt, now),
            Duration.ZERO,
            localState.ready(),
            localState.leaving(),
            localState.tokens());
    return new PeerDigest(sender, peers(now));
  }

  /** Adds the unknown peers of a request to the table, and returns the reply. */
  public PeerDigest onRequest(PeerDigest digest, long now) {
    long unverified = now - UNVERIFIED_AGE.toNanos();
    addIfUnknown(digest.sender(), unverified);
    digest.relayed().forEach(state -> addIfUnknown(state, unverified));
    if (digest.sender().configurationGeneration() > localState.configurationGeneration()) {
      newerConfigurationHint = Optional.of(digest.sender());
    }
    return digest(now);
  }

  private void addIfUnknown(PeerState state, long madeAt) {
    if (!isSelf(state.vm())) {
      entries.putIfAbsent(state.vm(), new Entry(state, madeAt));
    }
  }

  /**
   * Merges the states of a reply that are newer than the known ones.
   *
   * @param requestSentAt time at which the request for this reply was sent
   */
  public void onReply(PeerDigest digest, long requestSentAt, long now) {
    merge(digest.sender(), requestSentAt);
    digest.relayed().forEach(state -> merge(state, requestSentAt));
    recordPlatformContact(digest.sender(), requestSentAt);
    recordMajorityContact(now);
    removeExpiredPeers(now);
  }

  private void merge(PeerState state, long receivedAt) {
    if (isSelf(state.vm())) {
      return;
    }
    long madeAt = receivedAt - state.age().toNanos();
    Entry entry = entries.get(state.vm());
    if (entry == null) {
      entries.put(state.vm(), new Entry(state, madeAt));
    } else if (entry.state.instance().equals(state.instance())) {
      mergeSameInstance(entry, state, madeAt);
    } else if (madeAt - entry.createdAt > 0) {
      entry.state = state;
      entry.createdAt = madeAt;
    }
  }

  private static void mergeSameInstance(Entry entry, PeerState state, long madeAt) {
    if (state.sequence() > entry.state.sequence()) {
      entry.state = state;
    }
    entry.createdAt = later(entry.createdAt, madeAt);
  }

  private void recordPlatformContact(PeerState sender, long receivedAt) {
    if (sender.configurationGeneration() > localState.configurationGeneration()) {
      return;
    }
    sender
        .platformContactAge()
        .ifPresent(
            age -> platformContactAt = latest(platformContactAt, receivedAt - age.toNanos()));
  }

  // Contact to a majority is evidence for the generation in force only while no peer is known to
  // have a newer one.
  private void recordMajorityContact(long now) {
    Set<VmId> fleet = fleet();
    if (fleet.isEmpty() || entries.values().stream().anyMatch(entry -> isAhead(entry.state))) {
      return;
    }
    List<Long> contacts = new ArrayList<>();
    if (fleet.contains(self.vm())) {
      contacts.add(now);
    }
    for (VmId vm : fleet) {
      Entry entry = entries.get(vm);
      if (entry != null) {
        contacts.add(entry.createdAt);
      }
    }
    int majority = fleet.size() / 2 + 1;
    if (contacts.size() >= majority) {
      contacts.sort(Comparator.<Long>comparingLong(time -> time - now).reversed());
      majorityContactAt = latest(majorityContactAt, contacts.get(majority - 1));
    }
  }

  private boolean isAhead(PeerState state) {
    return state.configurationGeneration() > localState.configurationGeneration();
  }

  // A process that starts during an outage of the platform has no list. It then counts all peers
  // that are known, also suspected ones, so that a small partition does not pass for a majority.
  private Set<VmId> fleet() {
    Set<VmId> fleet = new HashSet<>();
    if (vmList.isPresent()) {
      fleet.addAll(vmList.get().live());
      fleet.addAll(vmList.get().leaving());
    } else if (!entries.isEmpty()) {
      fleet.addAll(entries.keySet());
      fleet.add(self.vm());
    }
    return fleet;
  }

  private void removeExpiredPeers(long now) {
    long limit = settings.forgetAfter().toNanos();
    vmList.ifPresent(
        list ->
            entries
                .entrySet()
                .removeIf(
                    entry ->
                        !list.contains(entry.getKey())
                            && now - entry.getValue().createdAt > limit));
  }

  /** Replaces the list of VMs if the given one is newer. */
  public void onVmList(VmList list) {
    if (vmList.isEmpty() || list.version() > vmList.get().version()) {
      vmList = Optional.of(list);
    }
  }

  /** Returns the newest list of VMs received from the platform. */
  public Optional<VmList> vmList() {
    return vmList;
  }

  /**
   * Records that the platform confirmed that the configuration in force is the newest.
   *
   * @param asOf time at which the request for the confirmation was sent; with a later time, the
   *     confirmation would wrongly cover changes that the platform accepted while its answer was in
   *     transit
   */
  public void onPlatformContact(long asOf) {
    platformContactAt = latest(platformContactAt, asOf);
  }

  /** Returns the states of all other proxies, with their current age. */
  public List<PeerState> peers(long now) {
    List<PeerState> states = new ArrayList<>();
    for (Entry entry : entries.values()) {
      states.add(entry.state.withAge(ageAt(entry, now)));
    }
    return states;
  }

  /** Returns the states of the peers that are not suspected to have failed. */
  public List<PeerState> livePeers(long now) {
    return peers(now).stream()
        .filter(state -> state.age().compareTo(settings.suspectAfter()) <= 0)
        .toList();
  }

  /**
   * Returns the peer to pull a newer configuration from; empty if none is newer than that of this
   * process.
   */
  public Optional<PeerState> peerWithNewestConfiguration(long now) {
    Optional<PeerState> newest =
        livePeerWithNewest(
            now, PeerState::configurationGeneration, localState.configurationGeneration());
    return newest.isPresent() ? newest : newerConfigurationHint.filter(this::isAhead);
  }

  /**
   * Returns the live peer to pull a newer share table from; empty if none is newer than that of
   * this process.
   */
  public Optional<PeerState> peerWithNewestShares(long now) {
    return livePeerWithNewest(now, PeerState::sharesVersion, localState.sharesVersion());
  }

  private Optional<PeerState> livePeerWithNewest(
      long now, ToLongFunction<PeerState> version, long held) {
    return livePeers(now).stream()
        .filter(state -> version.applyAsLong(state) > held)
        .max(Comparator.comparingLong(version));
  }

  /**
   * Returns whether every one of the VMs last reported exactly this generation.
   *
   * <p>A higher generation does not count, because its holder may have skipped this one and may
   * already apply other rules.
   */
  public boolean allReportGeneration(Collection<VmId> vms, long generation) {
    return vms.stream().allMatch(vm -> generationOf(vm) == generation);
  }

  private long generationOf(VmId vm) {
    if (isSelf(vm)) {
      return localState.configurationGeneration();
    }
    Entry entry = entries.get(vm);
    return entry == null ? 0 : entry.state.configurationGeneration();
  }

  /** Returns the evidence on which {@link TrustPolicy} decides. */
  public TrustEvidence trustEvidence(long now) {
    return new TrustEvidence(ageOf(platformContactAt, now), ageOf(majorityContactAt, now));
  }

  @Override
  public String toString() {
    return "peers of " + self.vm() + ": " + entries.keySet();
  }

  private boolean isSelf(VmId vm) {
    return vm.equals(self.vm());
  }

  private static Duration ageAt(Entry entry, long now) {
    return Duration.ofNanos(Math.max(0, now - entry.createdAt));
  }

  private static Optional<Duration> ageOf(Optional<Long> time, long now) {
    return time.map(at -> Duration.ofNanos(Math.max(0, now - at)));
  }

  private static Optional<Long> latest(Optional<Long> held, long time) {
    return Optional.of(held.isPresent() ? later(held.get(), time) : time);
  }

  private static long later(long a, long b) {
    return a - b > 0 ? a : b;
  }
}
