package org.oleanderstep.core.simulation;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.oleanderstep.core.failover.FailoverAction;
import org.oleanderstep.core.failover.FailoverController;
import org.oleanderstep.core.failover.FailoverSettings;
import org.oleanderstep.core.failover.MemberStatus;
import org.oleanderstep.core.failover.PrimaryView;
import org.oleanderstep.core.idempotency.IdempotencyDecision;
import org.oleanderstep.core.idempotency.RequestFailure;
import org.oleanderstep.core.idempotency.RequestFingerprint;
import org.oleanderstep.core.idempotency.RequestProgress;
import org.oleanderstep.core.idempotency.RequestStage;
import org.oleanderstep.core.idempotency.RetryBudget;
import org.oleanderstep.core.idempotency.RetryPolicy;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.position.SessionState;
import org.oleanderstep.core.routing.GroupTracker;
import org.oleanderstep.core.routing.GroupView;
import org.oleanderstep.core.routing.OutstandingStatements;
import org.oleanderstep.core.routing.ReadRule;
import org.oleanderstep.core.routing.RouteDecision;
import org.oleanderstep.core.routing.StatementKind;
import org.oleanderstep.core.routing.StatementRouter;

/** Model of a proxy: runs the production decision code of the core over the simulated network. */
final class ModelProxy {

  static final DatabaseId DATABASE = new DatabaseId("simulated", "orders");

  private static final long POLL_INTERVAL_NANOS = 200 * Simulator.MILLIS;
  private static final long TICK_INTERVAL_NANOS = 50 * Simulator.MILLIS;
  private static final long GOSSIP_INTERVAL_NANOS = 500 * Simulator.MILLIS;
  private static final long RETRY_DELAY_NANOS = 20 * Simulator.MILLIS;
  private static final long TARGET_TIMEOUT_NANOS = 500 * Simulator.MILLIS;
  private static final long CALL_TIMEOUT_NANOS = 900 * Simulator.MILLIS;
  private static final RetryPolicy.Attempt READ_ATTEMPT =
      new RetryPolicy.Attempt(StatementKind.READ, false, false, false);

  /** The response to a caller. */
  record Response(Outcome outcome, SessionState state, Set<String> seen) {}

  /** A write in progress, with its attempts; the caller receives one response. */
  private final class Call {
    final String request;
    final String callId;
    final boolean hasId;
    final boolean abandon;
    final SessionState state;
    final Consumer<Response> onResponse;
    final long deadline = simulator.now() + CALL_TIMEOUT_NANOS;
    final RequestProgress progress = new RequestProgress();
    int attempt;

    Call(
        String request,
        String callId,
        boolean hasId,
        boolean abandon,
        SessionState state,
        Consumer<Response> onResponse) {
      this.request = request;
      this.callId = callId;
      this.hasId = hasId;
      this.abandon = abandon;
      this.state = state;
      this.onResponse = onResponse;
    }

    void finish(Outcome outcome, SessionState newState) {
      onResponse.accept(new Response(outcome, newState, Set.of()));
    }
  }

  final String name;
  private final Simulator simulator;
  private final Defect defect;
  private final FailoverSettings settings;
  private final Map<String, ModelMember> group;
  private final List<ModelProxy> peers;
  private final StatementRouter router;
  private SplittableRandom random;
  private FailoverController controller;
  private GroupTracker tracker;
  private RetryBudget retryBudget;
  private RetryPolicy retryPolicy;
  private int instance;
  private final Map<String, Integer> pollCounts = new HashMap<>();
  final List<FailoverAction.SwitchoverFinished> finishedSwitchovers = new ArrayList<>();
  int promotionsSent;

  /** Called before an action is executed; a test may pause the proxy or stop a member here. */
  Consumer<FailoverAction> beforeAction = action -> {};

  ModelProxy(
      String name,
      Simulator simulator,
      Defect defect,
      Map<String, ModelMember> group,
      List<ModelProxy> peers,
      FailoverSettings settings) {
    this.settings = settings;
    this.name = name;
    this.simulator = simulator;
    this.defect = defect;
    this.group = group;
    this.peers = peers;
    router =
        new StatementRouter(
            OutstandingStatements.FROM_VIEW,
            defect == Defect.RUN_UNKNOWN_SESSIONS_AT_ONCE
                ? StatementRouter.UnknownSessionPolicy.RUN_ON_KNOWN_PRIMARY
                : StatementRouter.UnknownSessionPolicy.ASK_MEMBERS);
  }

  /** Starts or restarts the process without any state of an earlier instance. */
  void start() {
    instance++;
    random = new SplittableRandom(simulator.random.nextLong());
    List<MemberId> members = group.keySet().stream().map(MemberId::new).toList();
    List<MemberId> known = members;
    if (defect == Defect.PROMOTE_WITHOUT_MAJORITY) {
      known = List.of(members.get(simulator.random.nextInt(members.size())));
    }
    controller =
        new FailoverController(
            settings, DATABASE, new VmId(name), "instance-" + instance, known, random);
    controller.onLivePeers(peers.stream().map(peer -> new VmId(peer.name)).toList());
    tracker = new GroupTracker(DATABASE, members, Set.of());
    retryBudget = new RetryBudget(50, 20, Duration.ofSeconds(10), simulator::now);
    retryPolicy = new RetryPolicy(retryBudget);
    schedulePeriodically(TICK_INTERVAL_NANOS, () -> execute(controller.onTick(simulator.now())));
    schedulePeriodically(GOSSIP_INTERVAL_NANOS, this::gossip);
    group.values().forEach(member -> schedulePeriodically(POLL_INTERVAL_NANOS, () -> poll(member)));
  }

  private void schedulePeriodically(long periodNanos, Runnable action) {
    int scheduledInstance = instance;
    simulator.onNode(
        name,
        periodNanos,
        () -> {
          if (instance == scheduledInstance) {
            action.run();
            schedulePeriodically(periodNanos, action);
          }
        });
  }

  /** Schedules an action that is dropped if the process restarts before it is due. */
  private void schedule(long delayNanos, Runnable action) {
    int scheduledInstance = instance;
    simulator.onNode(
        name,
        delayNanos,
        () -> {
          if (instance == scheduledInstance) {
            action.run();
          }
        });
  }

  private <T> void sendRequest(
      ModelMember member, Consumer<Consumer<T>> request, Consumer<T> onReply) {
    int scheduledInstance = instance;
    Consumer<T> reply =
        value ->
            simulator.send(
                member.name,
                name,
                () -> {
                  if (instance == scheduledInstance) {
                    onReply.accept(value);
                  }
                });
    simulator.send(name, member.name, () -> request.accept(reply));
  }

  // Status requests, gossip and failover.

  private void poll(ModelMember member) {
    long requestedAt = simulator.now();
    int pollNumber = pollCounts.merge(member.name, 1, Integer::sum);
    this.<MemberStatus>sendRequest(
        member, reply -> reply.accept(member.status()), status -> onStatus(status, requestedAt));
    schedule(
        POLL_INTERVAL_NANOS - Simulator.MILLIS,
        () -> {
          boolean replied = answeredPollCounts.getOrDefault(member.name, 0) >= pollNumber;
          if (!replied) {
            tracker.onFailure(new MemberId(member.name));
            execute(controller.onStatusFailure(new MemberId(member.name), simulator.now()));
          }
        });
  }

  private final Map<String, Integer> answeredPollCounts = new HashMap<>();

  private void onStatus(MemberStatus status, long requestedAt) {
    answeredPollCounts.put(status.member().name(), pollCounts.get(status.member().name()));
    updateTracker(status, requestedAt);
    execute(controller.onStatus(status, simulator.now()));
  }

  private void updateTracker(MemberStatus status, long requestedAt) {
    tracker.onStatus(
        defect == Defect.ROUTE_BY_STALE_INCARNATION ? withoutIncarnation(status) : status,
        requestedAt,
        simulator.now());
  }

  private static MemberStatus withoutIncarnation(MemberStatus status) {
    return new MemberStatus(
        status.member(),
        "constant incarnation",
        status.role(),
        status.term(),
        status.promisedTerm(),
        status.promisedCandidate(),
        status.received(),
        status.applied(),
        status.primarySilence(),
        status.hasMajority(),
        status.leaving(),
        status.primary());
  }

  private void gossip() {
    ModelProxy peer = peers.get(simulator.random.nextInt(peers.size()));
    Optional<PrimaryView> view = controller.primary();
    if (peer != this && view.isPresent()) {
      simulator.sendWithDuplicates(name, peer.name, () -> peer.onGossip(view.get()));
    }
  }

  private void onGossip(PrimaryView view) {
    tracker.onTerm(view.term());
    execute(controller.onPeerReport(view.term(), view.member(), simulator.now()));
  }

  private void execute(List<FailoverAction> actions) {
    for (FailoverAction action : actions) {
      beforeAction.accept(action);
      // Scheduled, so that a paused process sends what it decided only after it has resumed.
      schedule(0, () -> execute(action));
    }
  }

  private void execute(FailoverAction action) {
    if (action instanceof FailoverAction.SendFence fence) {
      sendFence(group.get(fence.member().name()), fence.term());
    } else if (action instanceof FailoverAction.SendPromote promote) {
      promotionsSent++;
      sendPromote(group.get(promote.member().name()), promote.term());
    } else if (action instanceof FailoverAction.SwitchoverFinished finished) {
      finishedSwitchovers.add(finished);
    }
  }

  private void sendFence(ModelMember member, long term) {
    String candidate = controller.candidate();
    simulator.sendWithDuplicates(
        name,
        member.name,
        () -> {
          boolean accepted = member.fence(term, candidate);
          MemberStatus status = member.status();
          sendReply(member, candidate, () -> onFenceReply(member, term, accepted, status));
        });
  }

  private void onFenceReply(ModelMember member, long term, boolean accepted, MemberStatus status) {
    execute(
        controller.onFenceReply(
            new MemberId(member.name), term, accepted, status, simulator.now()));
  }

  private void sendPromote(ModelMember member, long term) {
    String candidate = controller.candidate();
    simulator.sendWithDuplicates(
        name,
        member.name,
        () -> {
          boolean accepted = member.promote(term, candidate);
          MemberStatus status = member.status();
          sendReply(
              member,
              candidate,
              () ->
                  execute(
                      controller.onPromoteReply(
                          new MemberId(member.name), term, accepted, status, simulator.now())));
        });
  }

  private void sendReply(ModelMember member, String candidate, Runnable delivery) {
    simulator.sendWithDuplicates(
        member.name,
        name,
        () -> {
          if (controller.candidate().equals(candidate)) {
            delivery.run();
          }
        });
  }

  void requestSwitchover(Optional<String> target) {
    execute(controller.requestSwitchover(target.map(MemberId::new), simulator.now()));
  }

  // Writes.

  void write(
      String request,
      String callId,
      boolean hasId,
      SessionState state,
      Consumer<Response> onResponse) {
    retryBudget.onFirstAttempt();
    routeWrite(new Call(request, callId, hasId, false, state, onResponse));
  }

  /** Makes sure that a request of unknown outcome never runs, or reports that it did run. */
  void abandon(String request, String callId, SessionState state, Consumer<Response> onResponse) {
    routeWrite(new Call(request, callId, true, true, state, onResponse));
  }

  private void routeWrite(Call call) {
    if (simulator.now() >= call.deadline) {
      RequestFailure failure =
          new RequestFailure.AbortedByProxy(
              NotRunReason.DEADLINE, "no primary found before the deadline");
      call.finish(call.progress.fail(failure), call.state);
      return;
    }
    GroupView view = tracker.view();
    if (router.routeWrite(view) instanceof RouteDecision.Run run) {
      sendWrite(call, run);
    } else {
      schedule(RETRY_DELAY_NANOS, () -> routeWrite(call));
    }
  }

  private void sendWrite(Call call, RouteDecision.Run run) {
    int attempt = ++call.attempt;
    ModelMember member = group.get(run.member().name());
    call.progress.advanceTo(RequestStage.SENT_WITH_COMMIT);
    this.<ModelMember.WriteReply>sendRequest(
        member,
        reply -> member.write(call.request, call.callId, call.hasId, call.abandon, reply),
        reply -> {
          if (call.attempt == attempt) {
            call.attempt++;
            onWriteReply(call, run, reply);
          }
        });
    schedule(
        TARGET_TIMEOUT_NANOS,
        () -> {
          if (call.attempt == attempt) {
            call.attempt++;
            retryOrFinish(
                call, run, new RequestFailure.ConnectionLost("no reply before the time-out"));
          }
        });
  }

  private void onWriteReply(Call call, RouteDecision.Run run, ModelMember.WriteReply reply) {
    if (reply instanceof ModelMember.WriteReply.Rejected) {
      retryOrFinish(
          call, run, new RequestFailure.RefusedByTarget(NotRunReason.NO_PRIMARY, "no primary"));
    } else if (reply instanceof ModelMember.WriteReply.NotConfirmed) {
      retryOrFinish(call, run, new RequestFailure.NotConfirmed("the primary stepped down"));
    } else {
      finishServed(call, (ModelMember.WriteReply.Served) reply);
    }
  }

  private void finishServed(Call call, ModelMember.WriteReply.Served served) {
    RequestFingerprint fingerprint = fingerprint(call.request);
    IdempotencyDecision decision =
        call.abandon
            ? IdempotencyDecision.afterAbandon(served.recorded(), fingerprint)
            : IdempotencyDecision.of(served.recorded(), fingerprint);
    SessionState newState = call.state.afterAcknowledgedWrite(DATABASE, served.position());
    Outcome outcome =
        decision instanceof IdempotencyDecision.Reject reject
            ? reject.outcome()
            : new Outcome.Served();
    call.finish(outcome, newState);
  }

  private void retryOrFinish(Call call, RouteDecision.Run run, RequestFailure failure) {
    Outcome outcome = call.progress.fail(failure);
    RetryPolicy.Attempt attempt =
        new RetryPolicy.Attempt(StatementKind.ROW_CHANGE, false, call.hasId, false);
    if (retryPolicy.mayRetry(attempt, outcome)) {
      call.progress.startRetry();
      schedule(RETRY_DELAY_NANOS, () -> routeWrite(call));
      return;
    }
    if (outcome instanceof Outcome.Unknown && defect == Defect.NOT_RUN_AFTER_SEND) {
      outcome = new Outcome.NotRun(NotRunReason.NO_PRIMARY, "connection lost");
    }
    boolean unknown = outcome instanceof Outcome.Unknown;
    call.finish(outcome, unknown ? call.state.afterUnknownWrite(DATABASE, run.term()) : call.state);
  }

  // Reads.

  void read(SessionState state, ReadRule rule, Consumer<Response> onResponse) {
    retryBudget.onFirstAttempt();
    long arrivedAt = simulator.now();
    RouteDecision decision =
        router.routeRead(tracker.view(), state.requirement(DATABASE), rule, arrivedAt, random);
    executeRead(decision, state, rule, arrivedAt, onResponse);
  }

  private void executeRead(
      RouteDecision decision,
      SessionState state,
      ReadRule rule,
      long arrivedAt,
      Consumer<Response> onResponse) {
    if (simulator.now() - arrivedAt >= CALL_TIMEOUT_NANOS) {
      Outcome outcome =
          new Outcome.NotRun(NotRunReason.DEADLINE, "no member found before the deadline");
      onResponse.accept(new Response(outcome, state, Set.of()));
    } else if (decision instanceof RouteDecision.Run run) {
      sendRead(run, state, rule, arrivedAt, onResponse);
    } else {
      if (decision instanceof RouteDecision.AskMembers) {
        group.values().forEach(this::poll);
      }
      long delayNanos =
          decision instanceof RouteDecision.WaitForPosition waitForPosition
              ? waitForPosition.maxWait().toNanos()
              : RETRY_DELAY_NANOS;
      schedule(delayNanos, () -> rerouteRead(state, rule, arrivedAt, onResponse));
    }
  }

  private void rerouteRead(
      SessionState state, ReadRule rule, long arrivedAt, Consumer<Response> onResponse) {
    RouteDecision decision =
        router.routeReadAfterWait(
            tracker.view(), state.requirement(DATABASE), rule, arrivedAt, random);
    executeRead(decision, state, rule, arrivedAt, onResponse);
  }

  private void sendRead(
      RouteDecision.Run run,
      SessionState state,
      ReadRule rule,
      long arrivedAt,
      Consumer<Response> onResponse) {
    ModelMember member = group.get(run.member().name());
    boolean[] done = {false};
    this.<ModelMember.ReadReply>sendRequest(
        member,
        reply -> reply.accept(member.read()),
        reply -> {
          if (done[0]) {
            return;
          }
          done[0] = true;
          boolean reached = reply.applied().compareTo(run.requiredPosition()) >= 0;
          if (reached || defect == Defect.ROUTE_BY_STALE_INCARNATION) {
            SessionState newState = state.afterRead(DATABASE, reply.applied());
            onResponse.accept(new Response(new Outcome.Served(), newState, reply.seen()));
          } else {
            schedule(RETRY_DELAY_NANOS, () -> rerouteRead(state, rule, arrivedAt, onResponse));
          }
        });
    schedule(
        TARGET_TIMEOUT_NANOS,
        () -> {
          if (!done[0]) {
            done[0] = true;
            Outcome outcome = new Outcome.Unknown("no reply before the time-out");
            if (retryPolicy.mayRetry(READ_ATTEMPT, outcome)) {
              rerouteRead(state, rule, arrivedAt, onResponse);
            } else {
              onResponse.accept(new Response(outcome, state, Set.of()));
            }
          }
        });
  }

  FailoverController controller() {
    return controller;
  }

  static RequestFingerprint fingerprint(String request) {
    return RequestFingerprint.of(request, List.of(request.getBytes(StandardCharsets.UTF_8)));
  }
}
