package org.oleanderstep.proxy.internal.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.membership.GossipPeerSelector;
import org.oleanderstep.core.membership.LocalPeerState;
import org.oleanderstep.core.membership.PeerState;
import org.oleanderstep.core.membership.PeerTable;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.proxy.internal.convert.PeerConverter;
import org.oleanderstep.proxy.internal.convert.VmListConverter;
import org.oleanderstep.proxy.internal.rpc.PeerCalls;
import org.oleanderstep.schema.v1.Digest;
import org.oleanderstep.schema.v1.VmList;

/** Exchanges digests with peers and pulls newer configurations, share tables and VM lists. */
final class PeerGossip {

  private static final Logger logger = LogManager.getLogger(PeerGossip.class);

  /** Is notified of each newer list of VMs. */
  interface VmListListener {
    void onVmList(VmList list);
  }

  private final PeerTable table;
  private final GossipPeerSelector planner;
  private final List<String> seedPeers;
  private final ControlLoop loop;
  private final PeerCalls calls;
  private final GroupMonitors groups;
  private final ConfigurationManager configuration;
  private final ShareManager shares;
  private final VmListListener vmListListener;
  private VmList vmList = VmList.getDefaultInstance();
  private boolean pullingConfiguration;
  private boolean pullingShares;
  private boolean pullingVmList;
  private final Map<VmId, Boolean> wasLive = new HashMap<>();

  PeerGossip(
      PeerTable table,
      List<String> seedPeers,
      ControlLoop loop,
      PeerCalls calls,
      GroupMonitors groups,
      ConfigurationManager configuration,
      ShareManager shares,
      VmListListener vmListListener,
      RandomGenerator random) {
    this.table = table;
    this.planner = new GossipPeerSelector(random);
    this.seedPeers = seedPeers;
    this.loop = loop;
    this.calls = calls;
    this.groups = groups;
    this.configuration = configuration;
    this.shares = shares;
    this.vmListListener = vmListListener;
  }

  void updateLocalState(LocalPeerState state) {
    table.updateLocalState(state);
  }

  VmList vmList() {
    return vmList;
  }

  /** Starts one gossip round. */
  void startRound() {
    for (String address : planner.selectPeers(table, seedPeers, loop.nanoTime())) {
      exchange(address);
    }
    updateLivePeers();
  }

  private void exchange(String address) {
    long sentAt = loop.nanoTime();
    loop.onCompletion(
        calls.exchange(address, digest(sentAt)),
        (reply, failure) -> {
          if (failure == null) {
            onReply(reply, sentAt, address);
          } else {
            logger.debug("peer {} did not answer: {}", address, failure.toString());
          }
        });
  }

  private Digest digest(long now) {
    return complete(PeerConverter.toProto(table.digest(now)));
  }

  private Digest complete(Digest.Builder digest) {
    digest.getSenderBuilder().setVmListVersion(vmList.getVersion());
    return digest.addAllDatabases(groups.states()).build();
  }

  private void onReply(Digest reply, long sentAt, String address) {
    table.onReply(PeerConverter.toCore(reply), sentAt, loop.nanoTime());
    updateLivePeers();
    groups.onPeerStates(reply.getDatabasesList());
    pullNewer();
    pullVmList(reply, address);
  }

  /** Handles a peer's digest and returns the reply. */
  Digest onRequest(Digest request) {
    Digest.Builder reply =
        PeerConverter.toProto(table.onRequest(PeerConverter.toCore(request), loop.nanoTime()));
    groups.onPeerStates(request.getDatabasesList());
    pullNewer();
    pullVmList(request, request.getSender().getPeerAddress());
    return complete(reply);
  }

  private void updateLivePeers() {
    long now = loop.nanoTime();
    List<PeerState> live = table.livePeers(now);
    groups.onPeers(live.stream().map(PeerState::vm).toList());
    shares.onPeers(live);
    Map<VmId, Boolean> isLive = new HashMap<>();
    table.peers(now).forEach(peer -> isLive.put(peer.vm(), false));
    live.forEach(peer -> isLive.put(peer.vm(), true));
    isLive.forEach(
        (vm, alive) -> {
          if (!alive.equals(wasLive.get(vm)) && (alive || wasLive.containsKey(vm))) {
            logger.info("peer {} {}", vm, alive ? "is heard" : "is not heard any more");
          }
        });
    wasLive.clear();
    wasLive.putAll(isLive);
  }

  /** Pulls the configuration and the share table from peers that report newer ones. */
  void pullNewer() {
    long now = loop.nanoTime();
    table.peerWithNewestConfiguration(now).ifPresent(this::pullConfiguration);
    table.peerWithNewestShares(now).ifPresent(this::pullShares);
  }

  private void pullConfiguration(PeerState peer) {
    if (pullingConfiguration) {
      return;
    }
    pullingConfiguration = true;
    loop.onCompletion(
        calls.getConfiguration(peer.peerAddress(), configuration.generation()),
        (reply, failure) -> {
          pullingConfiguration = false;
          if (failure == null && reply.hasConfiguration()) {
            configuration.offer(reply.getConfiguration(), "peer " + peer.vm());
          }
        });
  }

  private void pullShares(PeerState peer) {
    if (pullingShares) {
      return;
    }
    pullingShares = true;
    loop.onCompletion(
        calls.getShares(peer.peerAddress()),
        (reply, failure) -> {
          pullingShares = false;
          if (failure == null) {
            shares.onTable(reply);
          }
        });
  }

  private void pullVmList(Digest digest, String address) {
    if (pullingVmList || digest.getSender().getVmListVersion() <= vmList.getVersion()) {
      return;
    }
    pullingVmList = true;
    loop.onCompletion(
        calls.getVmList(address),
        (reply, failure) -> {
          pullingVmList = false;
          if (failure == null) {
            onVmList(reply);
          }
        });
  }

  /** Adopts a list of VMs from the platform or a peer if it is newer. */
  void onVmList(VmList list) {
    if (list.getVersion() <= vmList.getVersion()) {
      return;
    }
    vmList = list;
    table.onVmList(VmListConverter.toCore(list));
    groups.onListedLeaving(VmListConverter.leavingMembers(list));
    vmListListener.onVmList(list);
  }

  /** Returns the address of a peer. */
  Optional<String> addressOf(VmId vm) {
    return table.peers(loop.nanoTime()).stream()
        .filter(peer -> peer.vm().equals(vm))
        .map(PeerState::peerAddress)
        .findFirst();
  }
}
