package org.oleanderstep.core.failover;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oleanderstep.core.membership.RendezvousHash;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.core.position.LogPosition;

/**
 * Detects the failure of the primary of one database, and decides when this proxy claims a new term
 * and which member it promotes.
 *
 * <pre>{@code
 * for (FailoverAction action : controller.onStatus(status, clock.nanoTime())) {
 *   carryOut(action);
 * }
 * }</pre>
 *
 * <p>Not thread-safe; call only from the control thread. The controller sends nothing itself: each
 * method returns the actions that the caller has to carry out, in order. Every fence and promotion
 * is sent under the name {@link #candidate()}. All times are nanoseconds of one {@link
 * org.oleanderstep.core.MonotonicClock}.
 *
 * <p>A wrong suspicion costs availability but never correctness. The promises of the members keep a
 * second primary from acknowledging writes: a promotion requires promises of a majority, and goes
 * to a member that holds every acknowledged entry.
 */
public final class FailoverController {

  private static final int MAX_RANK = 4;
  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  private final DatabaseId database;
  private final VmId self;
  private final String candidate;
  private final RandomGenerator random;
  private final Map<MemberId, MemberObservation> members = new LinkedHashMap<>();
  private final long suspectAfterNanos;
  private final long rankDelayNanos;
  private final long attemptTimeoutNanos;
  private final long resendAfterNanos;
  private final long backoffBaseNanos;
  private final long backoffLimitNanos;
  private final long pauseLimitNanos;
  private final long freshForNanos;

  private int rank;
  private boolean started;
  private long lastCallNanos;
  private Phase phase = Phase.WATCHING;

  private long highestTerm;
  private long highestTermSinceNanos;
  private Optional<PrimaryView> known = Optional.empty();
  private long primaryHeardNanos;
  private Optional<Long> noMajoritySinceNanos = Optional.empty();

  private long waitUntilNanos;
  // Highest term at the start of a delay. If a higher one is seen during the delay, another
  // candidate was faster.
  private long delayedAtTerm;
  private int failedAttempts;
  private long leavingRetryNanos;
  private Attempt attempt;
  private PlannedChange plannedChange;

  /**
   * A change of the primary that an operator requested, or that replaces a leaving primary.
   *
   * @param target position that a successor must have received before any member is fenced
   */
  private record PlannedChange(
      Optional<MemberId> to, LogPosition target, long deadlineNanos, MemberId from) {}

  /**
   * Creates a controller that has not heard from any member yet.
   *
   * @param instance random identifier of this start of the process, so that a restarted proxy never
   *     uses a promise given to the previous process
   * @param members all members of the group, whether or not they are reachable
   */
  public FailoverController(
      FailoverSettings settings,
      DatabaseId database,
      VmId self,
      String instance,
      Collection<MemberId> members,
      RandomGenerator random) {
    if (instance.isBlank()) {
      throw new IllegalArgumentException("the instance of a candidate must not be blank");
    }
    if (members.isEmpty()) {
      throw new IllegalArgumentException("group " + database + " must have at least one member");
    }
    this.database = database;
    this.self = self;
    this.candidate = self.name() + "/" + instance;
    this.random = random;
    members.forEach(member -> this.members.put(member, new MemberObservation(member)));
    this.suspectAfterNanos = settings.suspectAfter().toNanos();
    this.rankDelayNanos = settings.rankDelay().toNanos();
    this.attemptTimeoutNanos = settings.attemptTimeout().toNanos();
    this.resendAfterNanos = settings.resendAfter().toNanos();
    this.backoffBaseNanos = settings.backoffBase().toNanos();
    this.backoffLimitNanos = settings.backoffLimit().toNanos();
    this.pauseLimitNanos = settings.pauseLimit().toNanos();
    this.freshForNanos = suspectAfterNanos / 2;
    // Until the peers are known, a hash spreads the delays of the candidates.
    this.rank =
        (int)
            Math.floorMod(
                RendezvousHash.weight(database.toString(), self.name()), (long) MAX_RANK + 1);
  }

  /** Returns the name under which fences and promotions are sent, unique to this process. */
  public String candidate() {
    return candidate;
  }

  /**
   * Updates the rank of this proxy among the candidates.
   *
   * @param live VMs whose proxies are alive
   */
  public void onPeers(Collection<VmId> live) {
    rank = Math.min(MAX_RANK, rankAmong(live));
  }

  // The order of the VMs depends on the database, so that no VM is the first candidate for all.
  private int rankAmong(Collection<VmId> vms) {
    List<String> names = vms.stream().map(VmId::name).toList();
    return RendezvousHash.rank(database.toString(), self.name(), names);
  }

  /** Processes the answer to a status request. */
  public List<FailoverAction> onStatus(MemberStatus status, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    checkForPause(nowNanos, actions);
    takeStatus(status, nowNanos, actions);
    proceed(nowNanos, actions);
    return actions;
  }

  /** Processes the failure or timeout of a status request. */
  public List<FailoverAction> onStatusFailure(MemberId member, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    checkForPause(nowNanos, actions);
    MemberObservation observation = members.get(member);
    if (observation != null) {
      observation.forget();
    }
    proceed(nowNanos, actions);
    return actions;
  }

  /** Processes the reply to {@link FailoverAction.SendFence}; a lost reply needs no call. */
  public List<FailoverAction> onFenceReply(
      MemberId member, long term, boolean accepted, MemberStatus status, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    checkForPause(nowNanos, actions);
    takeStatus(status, nowNanos, actions);
    boolean current = isFencing() && attempt.term == term && members.containsKey(member);
    if (current && accepted && status.member().equals(member)) {
      attempt.onPromise(status);
    } else if (current && !accepted) {
      attempt.onRefusal(member);
    }
    proceed(nowNanos, actions);
    return actions;
  }

  /** Processes the reply to {@link FailoverAction.SendPromote}; a lost reply needs no call. */
  public List<FailoverAction> onPromoteReply(
      MemberId member, long term, boolean accepted, MemberStatus status, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    checkForPause(nowNanos, actions);
    takeStatus(status, nowNanos, actions);
    boolean current =
        phase == Phase.PROMOTING
            && attempt.term == term
            && attempt.chosen().equals(Optional.of(member));
    if (current && accepted) {
      learnPrimary(new PrimaryView(member, term), nowNanos, actions);
      attempt = null;
      phase = Phase.WATCHING;
    } else if (current && !accepted) {
      failAttempt("member " + member + " refused the promotion", nowNanos, actions);
    }
    proceed(nowNanos, actions);
    return actions;
  }

  /** Processes timeouts; call it about every 50 ms, also when nothing was received. */
  public List<FailoverAction> onTick(long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    checkForPause(nowNanos, actions);
    proceed(nowNanos, actions);
    return actions;
  }

  /**
   * Processes a peer's report of the primary.
   *
   * <p>The report is only a hint: a term higher than any seen makes the known primary unusable
   * until a member reports the primary of that term.
   */
  public List<FailoverAction> onPeerReport(long term, MemberId primary, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    checkForPause(nowNanos, actions);
    if (members.containsKey(primary)) {
      raiseHighestTerm(term, nowNanos);
    }
    proceed(nowNanos, actions);
    return actions;
  }

  /**
   * Starts a switchover, a planned change of the primary.
   *
   * <p>The end is reported by {@link FailoverAction.PlannedChangeFinished}, possibly at once.
   *
   * @param to member that should become primary; empty for the most advanced of the others
   */
  public List<FailoverAction> requestPrimaryChange(Optional<MemberId> to, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    checkForPause(nowNanos, actions);
    Optional<String> obstacle = obstacleToChange(to, nowNanos);
    if (obstacle.isPresent()) {
      actions.add(new FailoverAction.PlannedChangeFinished(false, obstacle.get()));
    } else if (to.isPresent() && known.get().member().equals(to.get())) {
      actions.add(
          new FailoverAction.PlannedChangeFinished(true, "member " + to.get() + " is primary"));
    } else {
      startPlannedChange(to, nowNanos);
      proceed(nowNanos, actions);
    }
    return actions;
  }

  /**
   * Returns the primary of the highest term seen; empty while there is none, while it is silent,
   * and while this proxy claims a new term.
   */
  public Optional<PrimaryView> primary() {
    boolean claimedByUs = isFencing() || phase == Phase.PROMOTING;
    boolean silent = known.isPresent() && isSilent(lastCallNanos);
    return claimedByUs || silent || !isUnchallenged() ? Optional.empty() : known;
  }

  /** Returns the highest term seen in any status, reply or report. */
  public long highestTerm() {
    return highestTerm;
  }

  public Phase phase() {
    return phase;
  }

  // Observation of members.

  private void checkForPause(long nowNanos, List<FailoverAction> actions) {
    if (!started) {
      started = true;
      primaryHeardNanos = nowNanos;
      highestTermSinceNanos = nowNanos;
      leavingRetryNanos = nowNanos;
    } else if (nowNanos - lastCallNanos > pauseLimitNanos) {
      relearn(nowNanos, actions);
    }
    lastCallNanos = nowNanos;
  }

  // The group may have changed its primary during the pause, so nothing observed before it counts.
  private void relearn(long nowNanos, List<FailoverAction> actions) {
    members.values().forEach(MemberObservation::forget);
    primaryHeardNanos = nowNanos;
    highestTermSinceNanos = nowNanos;
    noMajoritySinceNanos = Optional.empty();
    attempt = null;
    endPlannedChange(false, "this proxy was paused", actions);
    phase = Phase.RELEARNING;
  }

  private void takeStatus(MemberStatus status, long nowNanos, List<FailoverAction> actions) {
    MemberObservation observation = members.get(status.member());
    if (observation == null) {
      return;
    }
    observation.take(status, nowNanos);
    if (status.role() == MemberRole.PRIMARY) {
      learnPrimary(new PrimaryView(status.member(), status.term()), nowNanos, actions);
    } else if (status.primary().isPresent() && members.containsKey(status.primary().get())) {
      learnPrimary(new PrimaryView(status.primary().get(), status.term()), nowNanos, actions);
    }
    raiseHighestTerm(Math.max(status.term(), status.promisedTerm()), nowNanos);
    if (status.role() == MemberRole.PRIMARY && isKnownPrimary(status.member(), status.term())) {
      hearPrimary(status, nowNanos);
    }
  }

  private void hearPrimary(MemberStatus status, long nowNanos) {
    primaryHeardNanos = nowNanos;
    if (status.hasMajority()) {
      noMajoritySinceNanos = Optional.empty();
    } else if (noMajoritySinceNanos.isEmpty()) {
      noMajoritySinceNanos = Optional.of(nowNanos);
    }
  }

  private void learnPrimary(PrimaryView view, long nowNanos, List<FailoverAction> actions) {
    raiseHighestTerm(view.term(), nowNanos);
    if (known.isPresent() && known.get().term() >= view.term()) {
      return;
    }
    known = Optional.of(view);
    primaryHeardNanos = nowNanos;
    noMajoritySinceNanos = Optional.empty();
    actions.add(new FailoverAction.PrimaryChanged(view.member(), view.term()));
    if (view.term() >= highestTerm) {
      settle(view.member(), actions);
    }
  }

  /** Ends the attempt and the switchover in progress, because the highest term has a primary. */
  private void settle(MemberId primary, List<FailoverAction> actions) {
    if (plannedChange != null) {
      boolean succeeded =
          plannedChange.to().map(primary::equals).orElse(!primary.equals(plannedChange.from()));
      endPlannedChange(succeeded, "member " + primary + " is primary", actions);
    }
    attempt = null;
    failedAttempts = 0;
    if (phase != Phase.RELEARNING) {
      phase = Phase.WATCHING;
    }
  }

  private void raiseHighestTerm(long term, long nowNanos) {
    if (term > highestTerm) {
      highestTerm = term;
      highestTermSinceNanos = nowNanos;
    }
  }

  private boolean isKnownPrimary(MemberId member, long term) {
    return known.equals(Optional.of(new PrimaryView(member, term)));
  }

  /**
   * Returns whether no status, reply or peer report has shown a higher term than that of the known
   * primary.
   */
  private boolean isUnchallenged() {
    return known.isPresent() && known.get().term() == highestTerm;
  }

  // Failure detection.

  private boolean isSilent(long nowNanos) {
    return nowNanos - primaryHeardNanos >= suspectAfterNanos;
  }

  private int majority() {
    return members.size() / 2 + 1;
  }

  /** Returns whether, by their latest answers, a majority of the members can promise a term. */
  private boolean hearsMajority(long nowNanos) {
    long answering =
        members.values().stream()
            .flatMap(member -> member.fresh(nowNanos, freshForNanos).stream())
            .filter(status -> status.role() != MemberRole.JOINING)
            .count();
    return answering >= majority();
  }

  private boolean needsClaim(long nowNanos) {
    return hearsMajority(nowNanos)
        && (isPrimaryDead(nowNanos)
            || hasPrimaryLostMajority(nowNanos)
            || isTermUnclaimed(nowNanos)
            || mustLeavingPrimaryBeReplaced(nowNanos));
  }

  private boolean isPrimaryDead(long nowNanos) {
    return known.isPresent() && isSilent(nowNanos) && silentMembers(nowNanos) >= majority();
  }

  /** Counts the members without recent contact to the primary, a silent primary included. */
  private long silentMembers(long nowNanos) {
    return members.values().stream().filter(member -> isSilentFor(member, nowNanos)).count();
  }

  private boolean isSilentFor(MemberObservation member, long nowNanos) {
    if (member.id().equals(known.get().member())) {
      return isSilent(nowNanos);
    }
    return member
        .fresh(nowNanos, freshForNanos)
        .filter(status -> status.primarySilence().toNanos() >= suspectAfterNanos)
        .isPresent();
  }

  /**
   * Returns whether the primary answers this proxy but has lost contact to a majority, so that it
   * can no longer acknowledge writes.
   */
  private boolean hasPrimaryLostMajority(long nowNanos) {
    if (known.isEmpty() || noMajoritySinceNanos.isEmpty()) {
      return false;
    }
    return silentMembers(nowNanos) >= majority()
        || nowNanos - noMajoritySinceNanos.get() >= suspectAfterNanos;
  }

  /** Returns whether the highest term has no primary and its candidate, if any, has timed out. */
  private boolean isTermUnclaimed(long nowNanos) {
    if (isUnchallenged()) {
      return false;
    }
    boolean primaryWorks =
        known
            .flatMap(view -> members.get(view.member()).fresh(nowNanos, freshForNanos))
            .filter(status -> status.role() == MemberRole.PRIMARY)
            .filter(status -> status.hasMajority() && status.promisedTerm() <= status.term())
            .isPresent();
    boolean followed =
        members.values().stream()
            .flatMap(member -> member.fresh(nowNanos, freshForNanos).stream())
            .anyMatch(this::followsPrimaryOfHighestTerm);
    if (followed) {
      return false;
    }
    boolean newGroup = highestTerm == 0;
    long timeoutNanos = primaryWorks || newGroup ? suspectAfterNanos : attemptTimeoutNanos;
    return nowNanos - highestTermSinceNanos >= timeoutNanos;
  }

  private boolean followsPrimaryOfHighestTerm(MemberStatus status) {
    return status.role() == MemberRole.REPLICA
        && status.term() == highestTerm
        && highestTerm > 0
        && status.primarySilence().toNanos() < attemptTimeoutNanos;
  }

  private boolean mustLeavingPrimaryBeReplaced(long nowNanos) {
    return isUnchallenged()
        && nowNanos - leavingRetryNanos >= 0
        && isLeaving(known.get().member(), nowNanos)
        && members.keySet().stream().anyMatch(member -> canTakeOver(member, nowNanos));
  }

  private boolean isLeaving(MemberId member, long nowNanos) {
    return members
        .get(member)
        .fresh(nowNanos, freshForNanos)
        .filter(MemberStatus::leaving)
        .isPresent();
  }

  private boolean canTakeOver(MemberId member, long nowNanos) {
    return members
        .get(member)
        .fresh(nowNanos, freshForNanos)
        .filter(status -> status.role() == MemberRole.REPLICA && !status.leaving())
        .isPresent();
  }

  // Steps of a failover.

  private void proceed(long nowNanos, List<FailoverAction> actions) {
    switch (phase) {
      case WATCHING -> watch(nowNanos);
      case DELAYING -> endDelay(nowNanos, actions);
      case FENCING, CATCHING_UP -> fence(nowNanos, actions);
      case PROMOTING -> promote(nowNanos, actions);
      case BACKING_OFF -> endBackoff(nowNanos, actions);
      case RELEARNING -> endRelearning(nowNanos);
    }
  }

  private void endRelearning(long nowNanos) {
    if (hearsMajority(nowNanos)) {
      phase = Phase.WATCHING;
    }
  }

  private void watch(long nowNanos) {
    if (needsClaim(nowNanos)) {
      phase = Phase.DELAYING;
      long jitter = random.nextLong(rankDelayNanos / 2 + 1);
      waitUntilNanos = nowNanos + rank * rankDelayNanos + jitter;
      delayedAtTerm = highestTerm;
    }
  }

  private void endDelay(long nowNanos, List<FailoverAction> actions) {
    boolean otherCandidate = highestTerm != delayedAtTerm;
    if (otherCandidate || !needsClaim(nowNanos)) {
      phase = Phase.WATCHING;
    } else if (nowNanos - waitUntilNanos >= 0) {
      startClaim(nowNanos, actions);
    }
  }

  private void startClaim(long nowNanos, List<FailoverAction> actions) {
    boolean onlyLeaving =
        mustLeavingPrimaryBeReplaced(nowNanos)
            && !isPrimaryDead(nowNanos)
            && !hasPrimaryLostMajority(nowNanos);
    if (onlyLeaving) {
      leavingRetryNanos = nowNanos + 4 * suspectAfterNanos;
      startPlannedChange(Optional.empty(), nowNanos);
      proceed(nowNanos, actions);
    } else {
      claim(nowNanos, actions);
    }
  }

  private void claim(long nowNanos, List<FailoverAction> actions) {
    raiseHighestTerm(highestTerm + 1, nowNanos);
    attempt = new Attempt(highestTerm, nowNanos, members.size());
    phase = Phase.FENCING;
    fence(nowNanos, actions);
  }

  private boolean isFencing() {
    return attempt != null && (phase == Phase.FENCING || phase == Phase.CATCHING_UP);
  }

  private void fence(long nowNanos, List<FailoverAction> actions) {
    if (attempt == null) {
      awaitTarget(nowNanos, actions);
      return;
    }
    if (attempt.cannotWin()) {
      failAttempt("a majority has promised another term", nowNanos, actions);
      return;
    }
    if (attempt.hasMajority() && mayChoose(nowNanos)) {
      choose(nowNanos, actions);
      return;
    }
    if (nowNanos - attempt.startedNanos >= attemptTimeoutNanos) {
      failAttempt("no majority promised term " + attempt.term, nowNanos, actions);
      return;
    }
    phase = attempt.hasMajority() ? Phase.CATCHING_UP : Phase.FENCING;
    sendFences(nowNanos, actions);
  }

  private void sendFences(long nowNanos, List<FailoverAction> actions) {
    for (MemberId member : members.keySet()) {
      // A requested successor that lags is fenced again, because the reply tells its position.
      boolean done =
          attempt.hasRefusalOf(member) || (attempt.hasPromiseOf(member) && !isRequested(member));
      boolean send = !done && mayFenceNow(member, nowNanos);
      if (send && attempt.maySend(member, nowNanos, resendAfterNanos)) {
        actions.add(new FailoverAction.SendFence(member, attempt.term));
      }
    }
  }

  // A switchover fences the old primary first, so that the replicas can receive all that it sent.
  private boolean mayFenceNow(MemberId member, long nowNanos) {
    if (plannedChange == null || member.equals(plannedChange.from())) {
      return true;
    }
    return attempt.hasStopped(plannedChange.from())
        || nowNanos - attempt.startedNanos >= resendAfterNanos;
  }

  private boolean isRequested(MemberId member) {
    return plannedChange != null && plannedChange.to().equals(Optional.of(member));
  }

  /** Returns whether more promises cannot lead to a better successor, or took too long. */
  private boolean mayChoose(long nowNanos) {
    if (nowNanos - attempt.startedNanos >= attemptTimeoutNanos / 2) {
      return true;
    }
    Optional<MemberId> requested = plannedChange == null ? Optional.empty() : plannedChange.to();
    return requested
        .map(attempt::mayBecomePrimary)
        .orElseGet(() -> !avoided().equals(Optional.of(attempt.best(preferred(), avoided()))));
  }

  /** Returns whether the known primary still works and no switchover is in progress. */
  private boolean keepsPrimary() {
    return plannedChange == null
        && known.isPresent()
        && !isSilent(lastCallNanos)
        && noMajoritySinceNanos.isEmpty();
  }

  private Optional<MemberId> avoided() {
    return keepsPrimary() ? Optional.empty() : known.map(PrimaryView::member);
  }

  private Optional<MemberId> preferred() {
    if (plannedChange != null) {
      return plannedChange.to();
    }
    return keepsPrimary() ? known.map(PrimaryView::member) : Optional.empty();
  }

  private void choose(long nowNanos, List<FailoverAction> actions) {
    attempt.choose(attempt.best(preferred(), avoided()));
    phase = Phase.PROMOTING;
    waitUntilNanos = nowNanos + attemptTimeoutNanos;
    promote(nowNanos, actions);
  }

  private void promote(long nowNanos, List<FailoverAction> actions) {
    MemberId chosen = attempt.chosen().orElseThrow();
    if (nowNanos - waitUntilNanos >= 0) {
      failAttempt("member " + chosen + " did not answer the promotion", nowNanos, actions);
    } else if (attempt.maySend(chosen, nowNanos, resendAfterNanos)) {
      actions.add(new FailoverAction.SendPromote(chosen, attempt.term));
    }
  }

  private void failAttempt(String reason, long nowNanos, List<FailoverAction> actions) {
    endPlannedChange(false, reason, actions);
    attempt = null;
    int doublings = Math.min(failedAttempts, MAX_BACKOFF_DOUBLINGS);
    long maxDelayNanos = Math.min(backoffLimitNanos, backoffBaseNanos << doublings);
    failedAttempts++;
    waitUntilNanos = nowNanos + maxDelayNanos / 2 + random.nextLong(maxDelayNanos / 2 + 1);
    delayedAtTerm = highestTerm;
    phase = Phase.BACKING_OFF;
  }

  private void endBackoff(long nowNanos, List<FailoverAction> actions) {
    if (highestTerm != delayedAtTerm) {
      // Another candidate has claimed a higher term; it gets the time of one attempt to finish.
      phase = Phase.WATCHING;
    } else if (nowNanos - waitUntilNanos >= 0 && hearsMajority(nowNanos)) {
      claim(nowNanos, actions);
    }
  }

  // Switchovers.

  private Optional<String> obstacleToChange(Optional<MemberId> to, long nowNanos) {
    if (phase != Phase.WATCHING && phase != Phase.DELAYING) {
      return Optional.of("another failover or switchover is in progress; try again later");
    }
    if (!isUnchallenged() || isSilent(nowNanos)) {
      return Optional.of("the group has no working primary to switch from");
    }
    if (to.isPresent() && !members.containsKey(to.get())) {
      return Optional.of("member " + to.get() + " is not in the group");
    }
    boolean possible =
        to.isEmpty()
            ? members.keySet().stream().anyMatch(member -> canTakeOver(member, nowNanos))
            : known.get().member().equals(to.get()) || canTakeOver(to.get(), nowNanos);
    return possible
        ? Optional.empty()
        : Optional.of("no member can take over; it must answer, be a replica and not be leaving");
  }

  private void startPlannedChange(Optional<MemberId> to, long nowNanos) {
    MemberId from = known.get().member();
    LogPosition target =
        members
            .get(from)
            .fresh(nowNanos, freshForNanos)
            .map(MemberStatus::received)
            .orElse(LogPosition.START);
    plannedChange = new PlannedChange(to, target, nowNanos + attemptTimeoutNanos, from);
    phase = Phase.CATCHING_UP;
  }

  /**
   * Waits until a successor has received what the primary had at the start of the switchover.
   *
   * <p>No member is fenced before that, so the primary serves meanwhile.
   */
  private void awaitTarget(long nowNanos, List<FailoverAction> actions) {
    boolean caughtUp =
        members.values().stream()
            .filter(member -> plannedChange.to().map(member.id()::equals).orElse(true))
            .filter(member -> canTakeOver(member.id(), nowNanos))
            .flatMap(member -> member.fresh(nowNanos, freshForNanos).stream())
            .anyMatch(status -> status.received().compareTo(plannedChange.target()) >= 0);
    if (caughtUp) {
      claim(nowNanos, actions);
    } else if (nowNanos - plannedChange.deadlineNanos() >= 0) {
      endPlannedChange(false, "the successor did not catch up in time", actions);
      phase = Phase.WATCHING;
    }
  }

  private void endPlannedChange(boolean changed, String detail, List<FailoverAction> actions) {
    if (plannedChange != null) {
      plannedChange = null;
      actions.add(new FailoverAction.PlannedChangeFinished(changed, detail));
    }
  }
}
