package org.oleanderstep.proxy.internal.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.membership.PeerState;
import org.oleanderstep.core.membership.PeerTable;
import org.oleanderstep.core.membership.RendezvousHash;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.proxy.internal.platform.PlatformClient;
import org.oleanderstep.proxy.internal.platform.PlatformObject;
import org.oleanderstep.proxy.internal.rpc.PeerCalls;
import org.oleanderstep.schema.v1.DrainIntent;
import org.oleanderstep.schema.v1.DrainRequest;
import org.oleanderstep.schema.v1.FailoverIntent;

/**
 * Executes the intents that operators publish under {@code intent/}, then deletes them.
 *
 * <p>Only the live VM with the highest rendezvous hash weight acts on an intent, so that watchers
 * do not compete. An intent that was not deleted is harmless, since a switchover is valid for one
 * term only.
 */
final class IntentHandler {

  private static final Logger logger = LogManager.getLogger(IntentHandler.class);
  private static final String DRAIN = "intent/drain/";
  private static final String FAILOVER = "intent/failover/";
  private static final Duration DRAIN_TIME = Duration.ofSeconds(30);

  private final VmId self;
  private final PeerTable peers;
  private final GroupMonitors groups;
  private final ControlLoop loop;
  private final PeerCalls calls;
  private final PlatformClient platform;
  private final Consumer<Duration> drainSelf;

  IntentHandler(
      VmId self,
      PeerTable peers,
      GroupMonitors groups,
      ControlLoop loop,
      PeerCalls calls,
      PlatformClient platform,
      Consumer<Duration> drainSelf) {
    this.self = self;
    this.peers = peers;
    this.groups = groups;
    this.loop = loop;
    this.calls = calls;
    this.platform = platform;
    this.drainSelf = drainSelf;
  }

  /** Executes an intent if this VM is responsible for it. */
  void onIntent(PlatformObject object, String name) {
    if (!isResponsible(name)) {
      return;
    }
    try {
      if (name.startsWith(DRAIN)) {
        drain(DrainIntent.parseFrom(object.value()), object, name);
      } else if (name.startsWith(FAILOVER)) {
        failOver(FailoverIntent.parseFrom(object.value()), object, name);
      }
    } catch (InvalidProtocolBufferException e) {
      logger.error("object {} is not an intent", name);
    }
  }

  private boolean isResponsible(String name) {
    long own = RendezvousHash.weight(name, self.name());
    return peers.livePeers(loop.nanoTime()).stream()
        .allMatch(p -> Long.compareUnsigned(RendezvousHash.weight(name, p.vm().name()), own) <= 0);
  }

  private void drain(DrainIntent intent, PlatformObject object, String name) {
    if (intent.getVm().equals(self.name())) {
      drainSelf.accept(DRAIN_TIME);
      delete(object, name);
      return;
    }
    Optional<PeerState> peer =
        peers.livePeers(loop.nanoTime()).stream()
            .filter(p -> p.vm().name().equals(intent.getVm()))
            .findFirst();
    if (peer.isEmpty()) {
      logger.warn("VM {} cannot be drained: it is not heard", intent.getVm());
      return;
    }
    loop.onCompletion(
        calls.drain(peer.get().peerAddress(), DrainRequest.getDefaultInstance()),
        (reply, failure) -> {
          if (failure == null) {
            delete(object, name);
          } else {
            logger.warn("VM {} cannot be drained: {}", intent.getVm(), failure.getMessage());
          }
        });
  }

  private void failOver(FailoverIntent intent, PlatformObject object, String name) {
    DatabaseId database = new DatabaseId(intent.getService(), intent.getDatabase());
    Optional<GroupMonitor> monitor = groups.monitor(database);
    if (monitor.isEmpty() || monitor.get().highestTerm() != intent.getTerm()) {
      logger.info("the switchover requested for {} is outdated", database);
      delete(object, name);
      return;
    }
    Optional<MemberId> to =
        intent.getMember().isEmpty()
            ? Optional.empty()
            : Optional.of(new MemberId(intent.getMember()));
    loop.onCompletion(
        monitor.get().requestSwitchover(to), (result, failure) -> delete(object, name));
  }

  private void delete(PlatformObject object, String name) {
    loop.onCompletion(
        platform.delete(name, object.version()),
        (version, failure) -> {
          if (failure != null) {
            logger.debug("object {} was not deleted: {}", name, failure.toString());
          }
        });
  }
}
