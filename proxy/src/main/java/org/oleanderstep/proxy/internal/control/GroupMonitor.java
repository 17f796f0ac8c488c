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

/** Polls the members of one database and executes the actions of its failover controller. */
final class GroupMonitor {

  private static final Logger logger = LogManager.getLogger(GroupMonitor.class);

  /**
   * Less than half of the time without a status after which a primary is suspected, so that a
   * single lost message does not start a failover.
   */
  private static final Duration STATUS_DEADLINE = Duration.ofMillis(600);

  private static final Duration COMMAND_DEADLINE = Duration.ofMillis(500);

  /**
   * Limits the load on members and on the control thread; requests within the interval share the
   * next round.
   */
  private static final Duration MIN_REQUEST_INTERVAL = Duration.ofMillis(2);

  /** A member with its last status and the state of the requests to it. */
  private static final class Member {
    private final MemberDefinition definition;
    private boolean polling;
    private boolean requestInFlight;
    private boolean requestAgain;
    private Optional<MemberStatus> last = Optional.empty();

    Member(MemberDefinition definition) {
      this.definition = definition;
    }
  }

  /** The result of a switchover. */
  record SwitchoverResult(boolean changed, long term, Optional<MemberId> primary, String detail) {}

  private final DatabaseId database;
  private final DatabaseDefinition definition;
  private final ControlLoop loop;
  private final MemberCalls calls;
  private final FailoverController controller;
  private final GroupTracker tracker;
  private final Map<MemberId, Member> members = new LinkedHashMap<>();
  private final List<CompletableFuture<SwitchoverResult>> switchovers = new ArrayList<>();
  private final Runnable publish;
  private Set<MemberId> listedLeaving = Set.of();
  private long fencingTerm;
  private boolean closed;
  private boolean requestPending;
  private boolean confirmationAwaited;
  private long lastRequestNanos;

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
    this.lastRequestNanos = loop.nanoTime() - MIN_REQUEST_INTERVAL.toNanos();
    definition.members().forEach(m -> members.put(m.id(), new Member(m)));
    this.controller =
        new FailoverController(
            settings, database, self.vm(), self.instance(), members.keySet(), random);
    Set<MemberId> sameFailureDomain =
        definition.members().stream()
            .filter(m -> m.failureDomain().equals(self.failureDomain()))
            .map(MemberDefinition::id)
            .collect(Collectors.toSet());
    this.tracker = new GroupTracker(database, members.keySet(), sameFailureDomain);
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

  /** Requests the status of every member whose previous poll has completed. */
  void poll() {
    members.values().stream().filter(member -> !member.polling).forEach(this::poll);
  }

  private void poll(Member member) {
    member.polling = true;
    long requestedAt = loop.nanoTime();
    loop.onCompletion(
        calls.status(member.definition.controlAddress(), STATUS_DEADLINE),
        (status, failure) -> {
          member.polling = false;
          if (failure == null) {
            onStatus(member, status, requestedAt);
          } else {
            onStatusFailure(member);
          }
        });
  }

  private void onStatus(
      Member member, org.oleanderstep.schema.v1.MemberStatus message, long requestedAt) {
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
    recordStatus(member, status, requestedAt);
    execute(controller.onStatus(status, loop.nanoTime()));
  }

  private void recordStatus(Member member, MemberStatus status, long requestedAt) {
    member.last = Optional.of(status);
    tracker.onStatus(status, requestedAt, loop.nanoTime());
    publishConfirmedPosition();
  }

  private void onStatusFailure(Member member) {
    if (!closed) {
      tracker.onFailure(member.definition.id());
      execute(controller.onStatusFailure(member.definition.id(), loop.nanoTime()));
    }
  }

  void tick() {
    execute(controller.onTick(loop.nanoTime()));
  }

  void onPeers(Collection<VmId> live) {
    controller.onLivePeers(live);
  }

  void onPeerReport(long term, MemberId primary) {
    tracker.onTerm(term);
    execute(controller.onPeerReport(term, primary, loop.nanoTime()));
  }

  void onListedLeaving(Set<MemberId> leaving) {
    listedLeaving = leaving;
  }

  void onPositionSeen(MemberId member, String incarnation, LogPosition position) {
    tracker.onStatementResponse(member, incarnation, position, loop.nanoTime());
  }

  /** Polls the member at once; a failed connection alone does not make it unreachable. */
  void onConnectionFailed(MemberId id) {
    Member member = members.get(id);
    if (member != null && !member.polling) {
      poll(member);
    }
  }

  CompletableFuture<SwitchoverResult> requestSwitchover(Optional<MemberId> to) {
    CompletableFuture<SwitchoverResult> result = new CompletableFuture<>();
    if (to.isPresent() && !members.containsKey(to.get())) {
      result.complete(
          new SwitchoverResult(
              false,
              highestTerm(),
              primary().map(PrimaryView::member),
              "no member of " + database + " has the name " + to.get()));
      return result;
    }
    switchovers.add(result);
    logger.info(
        "{}: change of the primary to {} requested",
        database,
        to.map(MemberId::name).orElse("any other member"));
    execute(controller.requestSwitchover(to, loop.nanoTime()));
    return result;
  }

  // Confirmation of current positions.

  /** Requests the status of all members, for reads that need a position confirmed from now on. */
  void requestFreshStatus() {
    requestPending = true;
    sendPendingRequests();
  }

  void sendPendingRequests() {
    long now = loop.nanoTime();
    if (!requestPending || closed || now - lastRequestNanos < MIN_REQUEST_INTERVAL.toNanos()) {
      return;
    }
    requestPending = false;
    confirmationAwaited = true;
    lastRequestNanos = now;
    members.values().forEach(this::requestStatus);
  }

  /** Sends a request in addition to the regular polls, or defers it while one is in flight. */
  private void requestStatus(Member member) {
    if (member.requestInFlight) {
      member.requestAgain = true;
      return;
    }
    member.requestInFlight = true;
    member.requestAgain = false;
    long requestedAt = loop.nanoTime();
    loop.onCompletion(
        calls.status(member.definition.controlAddress(), STATUS_DEADLINE),
        (status, failure) -> {
          member.requestInFlight = false;
          // Failures are ignored here: only the regular polls decide whether a member is reachable,
          // since the failure detection settings assume their interval.
          if (failure == null) {
            onStatus(member, status, requestedAt);
          }
          if (member.requestAgain && !closed) {
            requestStatus(member);
          }
        });
  }

  /**
   * Publishes a confirmed position at once, since reads wait for it; other changes are published
   * periodically.
   */
  private void publishConfirmedPosition() {
    if (confirmationAwaited && tracker.view().positionAsOf(lastRequestNanos).isPresent()) {
      confirmationAwaited = false;
      publish.run();
    }
  }

  // Actions of the failover controller.

  private void execute(List<FailoverAction> actions) {
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
        finishSwitchovers(finished);
      }
    }
  }

  private void sendFence(FailoverAction.SendFence fence) {
    if (fence.term() != fencingTerm) {
      fencingTerm = fence.term();
      logger.info("{}: failover started, fencing members for term {}", database, fence.term());
    }
    Member member = members.get(fence.member());
    long requestedAt = loop.nanoTime();
    loop.onCompletion(
        calls.fence(
            member.definition.controlAddress(),
            fence.term(),
            controller.candidate(),
            COMMAND_DEADLINE),
        (reply, failure) -> {
          if (closed || failure != null) {
            return;
          }
          MemberStatus status =
              MemberStatusConverter.toCore(
                  reply.getStatus(), listedLeaving.contains(fence.member()));
          recordStatus(member, status, requestedAt);
          execute(
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
    long requestedAt = loop.nanoTime();
    loop.onCompletion(
        calls.promote(
            member.definition.controlAddress(),
            promote.term(),
            controller.candidate(),
            COMMAND_DEADLINE),
        (reply, failure) -> {
          if (closed || failure != null) {
            return;
          }
          MemberStatus status =
              MemberStatusConverter.toCore(
                  reply.getStatus(), listedLeaving.contains(promote.member()));
          recordStatus(member, status, requestedAt);
          execute(
              controller.onPromoteReply(
                  promote.member(), promote.term(), reply.getAccepted(), status, loop.nanoTime()));
        });
  }

  private void finishSwitchovers(FailoverAction.SwitchoverFinished finished) {
    logger.info(
        "{}: change of the primary {}: {}",
        database,
        finished.succeeded() ? "done" : "not done",
        finished.detail());
    SwitchoverResult result =
        new SwitchoverResult(
            finished.succeeded(),
            controller.highestTerm(),
            controller.primary().map(PrimaryView::member),
            finished.detail());
    List<CompletableFuture<SwitchoverResult>> waiting = List.copyOf(switchovers);
    switchovers.clear();
    waiting.forEach(switchover -> switchover.complete(result));
  }

  /** Fails pending switchovers when the database was removed or its members changed. */
  void close() {
    closed = true;
    IllegalStateException membersChanged =
        new IllegalStateException("the declared members of " + database + " have changed");
    switchovers.forEach(switchover -> switchover.completeExceptionally(membersChanged));
    switchovers.clear();
  }
}
