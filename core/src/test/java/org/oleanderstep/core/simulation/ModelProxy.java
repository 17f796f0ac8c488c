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

/** A proxy that carries out the decisions of the core over the simulated network. */
final class ModelProxy {

  static final DatabaseId DATABASE = new DatabaseId("simulated", "orders");

  private static final long POLL_NANOS = 200 * Simulator.MILLIS;
  private static final long TICK_NANOS = 50 * Simulator.MILLIS;
  private static final long GOSSIP_NANOS = 500 * Simulator.MILLIS;
  private static final long PAUSE_BEFORE_RETRY_NANOS = 20 * Simulator.MILLIS;
  private static final long TARGET_TIMEOUT_NANOS = 500 * Simulator.MILLIS;
  private static final long DEADLINE_NANOS = 900 * Simulator.MILLIS;
  private static final RetryPolicy.Attempt READ =
      new RetryPolicy.Attempt(StatementKind.READ, false, false, false);

  /** What a caller gets back. */
  record Answer(Outcome outcome, SessionState state, Set<String> seen) {}

  /** A call that changes data; the caller's answer is produced once. */
  private final class Call {
    final String request;
    final String id;
    final boolean hasId;
    final boolean abandon;
    final SessionState state;
    final Consumer<Answer> answer;
    final long deadline = simulator.now() + DEADLINE_NANOS;
    final RequestProgress progress = new RequestProgress();
    int attempt;

    Call(
        String request,
        String id,
        boolean hasId,
        boolean abandon,
        SessionState state,
        Consumer<Answer> answer) {
      this.request = request;
      this.id = id;
      this.hasId = hasId;
      this.abandon = abandon;
      this.state = state;
      this.answer = answer;
    }

    void finish(Outcome outcome, SessionState after) {
      answer.accept(new Answer(outcome, after, Set.of()));
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
  private RetryBudget budget;
  private RetryPolicy retries;
  private int instance;
  private final Map<String, Integer> polls = new HashMap<>();
  final List<FailoverAction.SwitchoverFinished> finishedChanges = new ArrayList<>();
  int promotionsOrdered;

  /** Called before an action is sent; a scenario may freeze the proxy or stop a member here. */
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

  /** Starts the process with nothing in memory. */
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
    budget = new RetryBudget(50, 20, Duration.ofSeconds(10), simulator::now);
    retries = new RetryPolicy(budget);
    every(TICK_NANOS, () -> carryOut(controller.onTick(simulator.now())));
    every(GOSSIP_NANOS, this::gossip);
    group.values().forEach(member -> every(POLL_NANOS, () -> poll(member)));
  }

  private void every(long periodNanos, Runnable action) {
    int ofInstance = instance;
    simulator.onNode(
        name,
        periodNanos,
        () -> {
          if (instance == ofInstance) {
            action.run();
            every(periodNanos, action);
          }
        });
  }

  /** Runs an action unless the process was restarted meanwhile. */
  private void local(long delayNanos, Runnable action) {
    int ofInstance = instance;
    simulator.onNode(
        name,
        delayNanos,
        () -> {
          if (instance == ofInstance) {
            action.run();
          }
        });
  }

  private <T> void ask(ModelMember member, Consumer<Consumer<T>> work, Consumer<T> onReply) {
    int ofInstance = instance;
    Consumer<T> reply =
        value ->
            simulator.send(
                member.name,
                name,
                () -> {
                  if (instance == ofInstance) {
                    onReply.accept(value);
                  }
                });
    simulator.send(name, member.name, () -> work.accept(reply));
  }

  // Control.

  private void poll(ModelMember member) {
    long asked = simulator.now();
    int number = polls.merge(member.name, 1, Integer::sum);
    this.<MemberStatus>ask(
        member, reply -> reply.accept(member.status()), status -> onStatus(status, asked));
    local(
        POLL_NANOS - Simulator.MILLIS,
        () -> {
          boolean answered = answeredPolls.getOrDefault(member.name, 0) >= number;
          if (!answered) {
            tracker.onFailure(new MemberId(member.name));
            carryOut(controller.onStatusFailure(new MemberId(member.name), simulator.now()));
          }
        });
  }

  private final Map<String, Integer> answeredPolls = new HashMap<>();

  private void onStatus(MemberStatus status, long asked) {
    answeredPolls.put(status.member().name(), polls.get(status.member().name()));
    takeStatus(status, asked);
    carryOut(controller.onStatus(status, simulator.now()));
  }

  private void takeStatus(MemberStatus status, long asked) {
    tracker.onStatus(
        defect == Defect.ROUTE_BY_STALE_INCARNATION ? withoutIncarnation(status) : status,
        asked,
        simulator.now());
  }

  private static MemberStatus withoutIncarnation(MemberStatus status) {
    return new MemberStatus(
        status.member(),
        "always the same",
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
      simulator.sendRepeatable(name, peer.name, () -> peer.onGossip(view.get()));
    }
  }

  private void onGossip(PrimaryView view) {
    tracker.onTerm(view.term());
    carryOut(controller.onPeerReport(view.term(), view.member(), simulator.now()));
  }

  private void carryOut(List<FailoverAction> actions) {
    for (FailoverAction action : actions) {
      beforeAction.accept(action);
      // A frozen process sends what it decided only after it has resumed.
      local(0, () -> carryOut(action));
    }
  }

  private void carryOut(FailoverAction action) {
    if (action instanceof FailoverAction.SendFence fence) {
      fence(group.get(fence.member().name()), fence.term());
    } else if (action instanceof FailoverAction.SendPromote promote) {
      promotionsOrdered++;
      promote(group.get(promote.member().name()), promote.term());
    } else if (action instanceof FailoverAction.SwitchoverFinished finished) {
      finishedChanges.add(finished);
    }
  }

  private void fence(ModelMember member, long term) {
    String candidate = controller.candidate();
    simulator.sendRepeatable(
        name,
        member.name,
        () -> {
          boolean accepted = member.fence(term, candidate);
          MemberStatus status = member.status();
          reply(member, candidate, () -> onFenceReply(member, term, accepted, status));
        });
  }

  private void onFenceReply(ModelMember member, long term, boolean accepted, MemberStatus status) {
    carryOut(
        controller.onFenceReply(
            new MemberId(member.name), term, accepted, status, simulator.now()));
  }

  private void promote(ModelMember member, long term) {
    String candidate = controller.candidate();
    simulator.sendRepeatable(
        name,
        member.name,
        () -> {
          boolean accepted = member.promote(term, candidate);
          MemberStatus status = member.status();
          reply(
              member,
              candidate,
              () ->
                  carryOut(
                      controller.onPromoteReply(
                          new MemberId(member.name), term, accepted, status, simulator.now())));
        });
  }

  private void reply(ModelMember member, String candidate, Runnable delivery) {
    simulator.sendRepeatable(
        member.name,
        name,
        () -> {
          if (controller.candidate().equals(candidate)) {
            delivery.run();
          }
        });
  }

  void requestChange(Optional<String> to) {
    carryOut(controller.requestSwitchover(to.map(MemberId::new), simulator.now()));
  }

  // Writes.

  void write(
      String request, String call, boolean hasId, SessionState state, Consumer<Answer> answer) {
    budget.onFirstAttempt();
    route(new Call(request, call, hasId, false, state, answer));
  }

  /** Prevents an earlier request of unknown outcome from ever running, or finds that it ran. */
  void abandon(String request, String call, SessionState state, Consumer<Answer> answer) {
    route(new Call(request, call, true, true, state, answer));
  }

  private void route(Call call) {
    if (simulator.now() >= call.deadline) {
      RequestFailure late =
          new RequestFailure.AbortedByProxy(NotRunReason.DEADLINE, "no primary in time");
      call.finish(call.progress.fail(late), call.state);
      return;
    }
    GroupView view = tracker.view();
    if (router.routeWrite(view) instanceof RouteDecision.Run run) {
      send(call, run);
    } else {
      local(PAUSE_BEFORE_RETRY_NANOS, () -> route(call));
    }
  }

  private void send(Call call, RouteDecision.Run run) {
    int attempt = ++call.attempt;
    ModelMember member = group.get(run.member().name());
    call.progress.advanceTo(RequestStage.SENT_WITH_COMMIT);
    this.<ModelMember.Reply>ask(
        member,
        reply -> member.write(call.request, call.id, call.hasId, call.abandon, reply),
        reply -> {
          if (call.attempt == attempt) {
            call.attempt++;
            onReply(call, run, reply);
          }
        });
    local(
        TARGET_TIMEOUT_NANOS,
        () -> {
          if (call.attempt == attempt) {
            call.attempt++;
            fail(call, run, new RequestFailure.ConnectionLost("no answer in time"));
          }
        });
  }

  private void onReply(Call call, RouteDecision.Run run, ModelMember.Reply reply) {
    if (reply instanceof ModelMember.Reply.Rejected) {
      fail(call, run, new RequestFailure.RefusedByTarget(NotRunReason.NO_PRIMARY, "no primary"));
    } else if (reply instanceof ModelMember.Reply.NotConfirmed) {
      fail(call, run, new RequestFailure.NotConfirmed("the primary stepped down"));
    } else {
      onServed(call, (ModelMember.Reply.Served) reply);
    }
  }

  private void onServed(Call call, ModelMember.Reply.Served served) {
    RequestFingerprint fingerprint = fingerprint(call.request);
    IdempotencyDecision decision =
        call.abandon
            ? IdempotencyDecision.afterAbandon(served.found(), fingerprint)
            : IdempotencyDecision.of(served.found(), fingerprint);
    SessionState after = call.state.afterAcknowledgedWrite(DATABASE, served.position());
    Outcome outcome =
        decision instanceof IdempotencyDecision.Reject reject
            ? reject.outcome()
            : new Outcome.Served();
    call.finish(outcome, after);
  }

  private void fail(Call call, RouteDecision.Run run, RequestFailure failure) {
    Outcome outcome = call.progress.fail(failure);
    RetryPolicy.Attempt attempt =
        new RetryPolicy.Attempt(StatementKind.ROW_CHANGE, false, call.hasId, false);
    if (retries.mayRetry(attempt, outcome)) {
      call.progress.startRetry();
      local(PAUSE_BEFORE_RETRY_NANOS, () -> route(call));
      return;
    }
    if (outcome instanceof Outcome.Unknown && defect == Defect.NOT_RUN_AFTER_SEND) {
      outcome = new Outcome.NotRun(NotRunReason.NO_PRIMARY, "connection lost");
    }
    boolean unknown = outcome instanceof Outcome.Unknown;
    call.finish(outcome, unknown ? call.state.afterUnknownWrite(DATABASE, run.term()) : call.state);
  }

  // Reads.

  void read(SessionState state, ReadRule rule, Consumer<Answer> answer) {
    budget.onFirstAttempt();
    long arrived = simulator.now();
    RouteDecision decision =
        router.routeRead(tracker.view(), state.requirement(DATABASE), rule, arrived, random);
    follow(decision, state, rule, arrived, answer);
  }

  private void follow(
      RouteDecision decision,
      SessionState state,
      ReadRule rule,
      long arrived,
      Consumer<Answer> answer) {
    if (simulator.now() - arrived >= DEADLINE_NANOS) {
      Outcome late = new Outcome.NotRun(NotRunReason.DEADLINE, "no member in time");
      answer.accept(new Answer(late, state, Set.of()));
    } else if (decision instanceof RouteDecision.Run run) {
      runRead(run, state, rule, arrived, answer);
    } else {
      if (decision instanceof RouteDecision.AskMembers) {
        group.values().forEach(this::poll);
      }
      long wait =
          decision instanceof RouteDecision.WaitForPosition waitFor
              ? waitFor.maxWait().toNanos()
              : PAUSE_BEFORE_RETRY_NANOS;
      local(wait, () -> routeAgain(state, rule, arrived, answer));
    }
  }

  private void routeAgain(
      SessionState state, ReadRule rule, long arrived, Consumer<Answer> answer) {
    RouteDecision decision =
        router.routeReadAfterWait(
            tracker.view(), state.requirement(DATABASE), rule, arrived, random);
    follow(decision, state, rule, arrived, answer);
  }

  private void runRead(
      RouteDecision.Run run,
      SessionState state,
      ReadRule rule,
      long arrived,
      Consumer<Answer> answer) {
    ModelMember member = group.get(run.member().name());
    boolean[] done = {false};
    this.<ModelMember.ReadReply>ask(
        member,
        reply -> reply.accept(member.read()),
        reply -> {
          if (done[0]) {
            return;
          }
          done[0] = true;
          boolean fresh = reply.applied().compareTo(run.requiredPosition()) >= 0;
          if (fresh || defect == Defect.ROUTE_BY_STALE_INCARNATION) {
            SessionState after = state.afterRead(DATABASE, reply.applied());
            answer.accept(new Answer(new Outcome.Served(), after, reply.seen()));
          } else {
            local(PAUSE_BEFORE_RETRY_NANOS, () -> routeAgain(state, rule, arrived, answer));
          }
        });
    local(
        TARGET_TIMEOUT_NANOS,
        () -> {
          if (!done[0]) {
            done[0] = true;
            Outcome lost = new Outcome.Unknown("no answer in time");
            if (retries.mayRetry(READ, lost)) {
              routeAgain(state, rule, arrived, answer);
            } else {
              answer.accept(new Answer(lost, state, Set.of()));
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
