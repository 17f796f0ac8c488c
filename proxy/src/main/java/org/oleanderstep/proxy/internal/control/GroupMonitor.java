package org.oleanderstep.proxy.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.oleanderstep.core.configuration.DatabaseDefinition;
import org.oleanderstep.core.configuration.MemberDefinition;
import org.oleanderstep.core.failover.FailoverAction;
import org.oleanderstep.core.failover.FailoverController;
import org.oleanderstep.core.failover.FailoverSettings;
import org.oleanderstep.core.failover.MemberStatus;
import org.oleanderstep.core.failover.PrimaryView;
import org.oleanderstep.core.membership.PeerIdentity;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.core.routing.GroupTracker;
import org.oleanderstep.core.routing.GroupView;
import org.oleanderstep.proxy.internal.convert.MemberStatusConverter;
import org.oleanderstep.proxy.internal.rpc.MemberCalls;

/** Watches the members of one database, and carries out the orders of its failover controller. */
final class GroupMonitor {

  private static final Logger logger = LogManager.getLogger(GroupMonitor.class);

  /**
   * Shorter than half of the silence that makes a primary suspect, so that one loss is harmless.
   */
  private static final Duration STATUS_DEADLINE = Duration.ofMillis(600);

  private static final Duration ORDER_DEADLINE = Duration.ofMillis(500);

  /** Bounds the load on members and on the control thread; later requests share the next round. */
  private static final Duration SHORTEST_ASK_INTERVAL = Duration.ofMillis(2);

  /** A member with the state of its polls. */
  private static final class Member {
    private final MemberDefinition definition;
    private boolean polling;
    private boolean asking;
    private boolean askAgain;
    private Optional<MemberStatus> last = Optional.empty();

    Member(MemberDefinition definition) {
      this.definition = definition;
    }
  }

  /** The end of a planned change of the primary. */
  record ChangeResult(boolean changed, long term, Optional<MemberId> primary, String detail) {}

  private final DatabaseId database;
  private final DatabaseDefinition definition;
  private final ControlLoop loop;
  private final MemberCalls calls;
  private final FailoverController controller;
  private final GroupTracker tracker;
  private final Map<MemberId, Member> members = new LinkedHashMap<>();
  private final List<CompletableFuture<ChangeResult>> changes = new ArrayList<>();
  private final Runnable publish;
  private Set<MemberId> listedLeaving = Set.of();
  private long fencingTerm;
  private boolean closed;
  private boolean askWanted;
  private boolean proofAwaited;
  private long lastAskNanos;

  GroupMonitor(
      DatabaseId database,
      DatabaseDefinition definition,
      PeerIdentity self,
      FailoverSettings settings,
      ControlLoop loop,
      MemberCalls calls,
      RandomGenerator random,
      Runnable publish) {
    this.database = database;
    this.definition = definition;
    this.loop = loop;
    this.calls = calls;
    this.publish = publish;
    this.lastAskNanos = loop.nanoTime() - SHORTEST_ASK_INTERVAL.toNanos();
    definition.members().forEach(m -> members.put(m.id(), new Member(m)));
    this.controller =
        new FailoverController(
            settings, database, self.vm(), self.instance(), members.keySet(), random);
    Set<MemberId> near =
        definition.members().stream()
            .filter(m -> m.failureDomain().equals(self.failureDomain()))
            .map(MemberDefinition::id)
            .collect(Collectors.toSet());
    this.tracker = new GroupTracker(database, members.keySet(), near);
  }

  DatabaseDefinition definition() {
    return definition;
  }

  GroupView view() {
    return tracker.view();
  }

  Optional<PrimaryView> primary() {
    return controller.primary();
  }

  long highestTerm() {
    return controller.highestTerm();
  }

  Map<MemberId, String> incarnations() {
    Map<MemberId, String> incarnations = new LinkedHashMap<>();
    members.forEach(
        (id, member) ->
            member.last.ifPresent(status -> incarnations.put(id, status.incarnation())));
    return incarnations;
  }

  Optional<MemberStatus> lastStatus(MemberId member) {
    return members.get(member).last;
  }

  /** Asks every member for its status that has answered the last time, or failed to. */
  void poll() {
    members.values().stream().filter(member -> !member.polling).forEach(this::poll);
  }

  private void poll(Member member) {
    member.polling = true;
    long asked = loop.nanoTime();
    loop.onCompletion(
        calls.status(member.definition.controlAddress(), STATUS_DEADLINE),
        (status, failure) -> {
          member.polling = false;
          if (failure == null) {
            onStatus(member, status, asked);
          } else {
            onStatusFailure(member);
          }
        });
  }

  private void onStatus(
      Member member, org.oleanderstep.schema.v1.MemberStatus message, long asked) {
    if (closed) {
      return;
    }
    MemberId id = member.definition.id();
    MemberStatus status = MemberStatusConverter.toCore(message, listedLeaving.contains(id));
    if (!status.member().equals(id)) {
      logger.warn(
          "{}: the control address of member {} is served by member {}",
          database,
          id,
          status.member());
      onStatusFailure(member);
      return;
    }
    takeStatus(member, status, asked);
    carryOut(controller.onStatus(status, loop.nanoTime()));
  }

  private void takeStatus(Member member, MemberStatus status, long asked) {
    member.last = Optional.of(status);
    tracker.onStatus(status, asked, loop.nanoTime());
    publishProof();
  }

  private void onStatusFailure(Member member) {
    if (!closed) {
      tracker.onFailure(member.definition.id());
      carryOut(controller.onStatusFailure(member.definition.id(), loop.nanoTime()));
    }
  }

  void tick() {
    carryOut(controller.onTick(loop.nanoTime()));
  }

  void onPeers(Collection<VmId> live) {
    controller.onLivePeers(live);
  }

  void onPeerReport(long term, MemberId primary) {
    tracker.onTerm(term);
    carryOut(controller.onPeerReport(term, primary, loop.nanoTime()));
  }

  void onListedLeaving(Set<MemberId> leaving) {
    listedLeaving = leaving;
  }

  void onPositionSeen(MemberId member, String incarnation, LogPosition position) {
    tracker.onStatementResponse(member, incarnation, position, loop.nanoTime());
  }

  /** A failed connection is only a hint: the next status tells whether the member is there. */
  void onConnectionFailed(MemberId id) {
    Member member = members.get(id);
    if (member != null && !member.polling) {
      poll(member);
    }
  }

  CompletableFuture<ChangeResult> requestPrimaryChange(Optional<MemberId> to) {
    CompletableFuture<ChangeResult> result = new CompletableFuture<>();
    if (to.isPresent() && !members.containsKey(to.get())) {
      result.complete(
          new ChangeResult(
              false,
              highestTerm(),
              primary().map(PrimaryView::member),
              "no member of " + database + " has the name " + to.get()));
      return result;
    }
    changes.add(result);
    logger.info(
        "{}: change of the primary to {} requested",
        database,
        to.map(MemberId::name).orElse("any other member"));
    carryOut(controller.requestSwitchover(to, loop.nanoTime()));
    return result;
  }

  // Proofs of what is current.

  /** Asks all members anew, for reads that may not rely on what was known before. */
  void askMembers() {
    askWanted = true;
    sendWantedRequests();
  }

  void sendWantedRequests() {
    long now = loop.nanoTime();
    if (!askWanted || closed || now - lastAskNanos < SHORTEST_ASK_INTERVAL.toNanos()) {
      return;
    }
    askWanted = false;
    proofAwaited = true;
    lastAskNanos = now;
    members.values().forEach(this::ask);
  }

  /** Sends a request besides the regular polls, or puts it off while one is in flight. */
  private void ask(Member member) {
    if (member.asking) {
      member.askAgain = true;
      return;
    }
    member.asking = true;
    member.askAgain = false;
    long asked = loop.nanoTime();
    loop.onCompletion(
        calls.status(member.definition.controlAddress(), STATUS_DEADLINE),
        (status, failure) -> {
          member.asking = false;
          // Whether a member is reachable is left to the regular polls, which the settings of the
          // failure detection are made for.
          if (failure == null) {
            onStatus(member, status, asked);
          }
          if (member.askAgain && !closed) {
            ask(member);
          }
        });
  }

  /** Publishes at once what reads wait for; other changes are published with the next tick. */
  private void publishProof() {
    if (proofAwaited && tracker.view().positionAsOf(lastAskNanos).isPresent()) {
      proofAwaited = false;
      publish.run();
    }
  }

  // Orders of the controller.

  private void carryOut(List<FailoverAction> actions) {
    for (FailoverAction action : actions) {
      if (action instanceof FailoverAction.SendFence fence) {
        sendFence(fence);
      } else if (action instanceof FailoverAction.SendPromote promote) {
        sendPromote(promote);
      } else if (action instanceof FailoverAction.PrimaryChanged changed) {
        logger.info(
            "{}: member {} is primary of term {}", database, changed.primary(), changed.term());
        tracker.onTerm(changed.term());
      } else if (action instanceof FailoverAction.SwitchoverFinished finished) {
        finishChanges(finished);
      }
    }
  }

  private void sendFence(FailoverAction.SendFence fence) {
    if (fence.term() != fencingTerm) {
      fencingTerm = fence.term();
      logger.info("{}: failover started, fencing members for term {}", database, fence.term());
    }
    Member member = members.get(fence.member());
    long asked = loop.nanoTime();
    loop.onCompletion(
        calls.fence(
            member.definition.controlAddress(),
            fence.term(),
            controller.candidate(),
            ORDER_DEADLINE),
        (reply, failure) -> {
          if (closed || failure != null) {
            return;
          }
          MemberStatus status =
              MemberStatusConverter.toCore(
                  reply.getStatus(), listedLeaving.contains(fence.member()));
          takeStatus(member, status, asked);
          carryOut(
              controller.onFenceReply(
                  fence.member(), fence.term(), reply.getAccepted(), status, loop.nanoTime()));
        });
  }

  private void sendPromote(FailoverAction.SendPromote promote) {
    logger.info(
        "{}: a majority is fenced for term {}, promoting member {}",
        database,
        promote.term(),
        promote.member());
    Member member = members.get(promote.member());
    long asked = loop.nanoTime();
    loop.onCompletion(
        calls.promote(
            member.definition.controlAddress(),
            promote.term(),
            controller.candidate(),
            ORDER_DEADLINE),
        (reply, failure) -> {
          if (closed || failure != null) {
            return;
          }
          MemberStatus status =
              MemberStatusConverter.toCore(
                  reply.getStatus(), listedLeaving.contains(promote.member()));
          takeStatus(member, status, asked);
          carryOut(
              controller.onPromoteReply(
                  promote.member(), promote.term(), reply.getAccepted(), status, loop.nanoTime()));
        });
  }

  private void finishChanges(FailoverAction.SwitchoverFinished finished) {
    logger.info(
        "{}: change of the primary {}: {}",
        database,
        finished.succeeded() ? "done" : "not done",
        finished.detail());
    ChangeResult result =
        new ChangeResult(
            finished.succeeded(),
            controller.highestTerm(),
            controller.primary().map(PrimaryView::member),
            finished.detail());
    List<CompletableFuture<ChangeResult>> waiting = List.copyOf(changes);
    changes.clear();
    waiting.forEach(change -> change.complete(result));
  }

  /** Ends all waits when the database was removed or has other members. */
  void close() {
    closed = true;
    IllegalStateException ended =
        new IllegalStateException("the members of " + database + " were declared anew");
    changes.forEach(change -> change.completeExceptionally(ended));
    changes.clear();
  }
}
