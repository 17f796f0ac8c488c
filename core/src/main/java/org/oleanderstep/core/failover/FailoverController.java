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
  private final long statusMaxAgeNanos;

  private int rank;
  private boolean started;
  private long lastCallNanos;
  private Phase phase = Phase.WATCHING;

  private long highestTerm;
  private long highestTermSinceNanos;
  private Optional<PrimaryView> knownPrimary = Optional.empty();
  private long lastPrimaryContactNanos;
  private Optional<Long> noMajoritySinceNanos = Optional.empty();

  private long waitUntilNanos;
  // Highest term at the start of a delay. If a higher one is seen during the delay, another
  // candidate was faster.
  private long highestTermAtDelayStart;
  private int failedAttempts;
  private long nextLeavingSwitchoverNanos;
  private FailoverAttempt attempt;
  private Switchover switchover;

  /**
   * A change of the primary that an operator requested, or that replaces a leaving primary.
   *
   * @param catchUpPosition position that a successor must have received before any member is fenced
   */
  private record Switchover(
      Optional<MemberId> requestedSuccessor,
      LogPosition catchUpPosition,
      long deadlineNanos,
      MemberId oldPrimary) {}

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
    this.statusMaxAgeNanos = suspectAfterNanos / 2;
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
  public void onLivePeers(Collection<VmId> live) {
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
    detectPause(nowNanos, actions);
    recordStatus(status, nowNanos, actions);
    advance(nowNanos, actions);
    return actions;
  }

  /** Processes the failure or timeout of a status request. */
  public List<FailoverAction> onStatusFailure(MemberId member, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    detectPause(nowNanos, actions);
    MemberObservation observation = members.get(member);
    if (observation != null) {
      observation.clear();
    }
    advance(nowNanos, actions);
    return actions;
  }

  /** Processes the reply to {@link FailoverAction.SendFence}; a lost reply needs no call. */
  public List<FailoverAction> onFenceReply(
      MemberId member, long term, boolean accepted, MemberStatus status, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    detectPause(nowNanos, actions);
    recordStatus(status, nowNanos, actions);
    boolean current = isFencing() && attempt.term == term && members.containsKey(member);
    if (current && accepted && status.member().equals(member)) {
      attempt.onPromise(status);
    } else if (current && !accepted) {
      attempt.onRefusal(member);
    }
    advance(nowNanos, actions);
    return actions;
  }

  /** Processes the reply to {@link FailoverAction.SendPromote}; a lost reply needs no call. */
  public List<FailoverAction> onPromoteReply(
      MemberId member, long term, boolean accepted, MemberStatus status, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    detectPause(nowNanos, actions);
    recordStatus(status, nowNanos, actions);
    boolean current =
        phase == Phase.PROMOTING
            && attempt.term == term
            && attempt.successor().equals(Optional.of(member));
    if (current && accepted) {
      recordPrimary(new PrimaryView(member, term), nowNanos, actions);
      attempt = null;
      phase = Phase.WATCHING;
    } else if (current && !accepted) {
      failAttempt("member " + member + " refused the promotion", nowNanos, actions);
    }
    advance(nowNanos, actions);
    return actions;
  }

  /** Processes timeouts; call it about every 50 ms, also when nothing was received. */
  public List<FailoverAction> onTick(long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    detectPause(nowNanos, actions);
    advance(nowNanos, actions);
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
    detectPause(nowNanos, actions);
    if (members.containsKey(primary)) {
      raiseHighestTerm(term, nowNanos);
    }
    advance(nowNanos, actions);
    return actions;
  }

  /**
   * Starts a switchover, a planned change of the primary.
   *
   * <p>The end is reported by {@link FailoverAction.SwitchoverFinished}, possibly at once.
   *
   * @param successor member that should become primary; empty for the most advanced of the others
   */
  public List<FailoverAction> requestSwitchover(Optional<MemberId> successor, long nowNanos) {
    List<FailoverAction> actions = new ArrayList<>();
    detectPause(nowNanos, actions);
    Optional<String> obstacle = findSwitchoverObstacle(successor, nowNanos);
    if (obstacle.isPresent()) {
      actions.add(new FailoverAction.SwitchoverFinished(false, obstacle.get()));
    } else if (successor.isPresent() && knownPrimary.get().member().equals(successor.get())) {
      actions.add(
          new FailoverAction.SwitchoverFinished(true, "member " + successor.get() + " is primary"));
    } else {
      startSwitchover(successor, nowNanos);
      advance(nowNanos, actions);
    }
    return actions;
  }

  /**
   * Returns the primary of the highest term seen; empty while there is none, while it is silent,
   * and while this proxy claims a new term.
   */
  public Optional<PrimaryView> primary() {
    boolean claimedByUs = isFencing() || phase == Phase.PROMOTING;
    boolean silent = knownPrimary.isPresent() && isPrimarySilent(lastCallNanos);
    return claimedByUs || silent || !hasPrimaryOfHighestTerm() ? Optional.empty() : knownPrimary;
  }

  /** Returns the highest term seen in any status, reply or report. */
  public long highestTerm() {
    return highestTerm;
  }

  public Phase phase() {
    return phase;
  }

  // Observation of members.

  private void detectPause(long nowNanos, List<FailoverAction> actions) {
    if (!started) {
      started = true;
      lastPrimaryContactNanos = nowNanos;
      highestTermSinceNanos = nowNanos;
      nextLeavingSwitchoverNanos = nowNanos;
    } else if (nowNanos - lastCallNanos > pauseLimitNanos) {
      resetAfterPause(nowNanos, actions);
    }
    lastCallNanos = nowNanos;
  }

  // The group may have changed its primary during the pause, so nothing observed before it counts.
  private void resetAfterPause(long nowNanos, List<FailoverAction> actions) {
    members.values().forEach(MemberObservation::clear);
    lastPrimaryContactNanos = nowNanos;
    highestTermSinceNanos = nowNanos;
    noMajoritySinceNanos = Optional.empty();
    attempt = null;
    endSwitchover(false, "this proxy was paused", actions);
    phase = Phase.RELEARNING;
  }

  private void recordStatus(MemberStatus status, long nowNanos, List<FailoverAction> actions) {
    MemberObservation observation = members.get(status.member());
    if (observation == null) {
      return;
    }
    observation.update(status, nowNanos);
    if (status.role() == MemberRole.PRIMARY) {
      recordPrimary(new PrimaryView(status.member(), status.term()), nowNanos, actions);
    } else if (status.primary().isPresent() && members.containsKey(status.primary().get())) {
      recordPrimary(new PrimaryView(status.primary().get(), status.term()), nowNanos, actions);
    }
    raiseHighestTerm(Math.max(status.term(), status.promisedTerm()), nowNanos);
    if (status.role() == MemberRole.PRIMARY && isKnownPrimary(status.member(), status.term())) {
      recordPrimaryContact(status, nowNanos);
    }
  }

  private void recordPrimaryContact(MemberStatus status, long nowNanos) {
    lastPrimaryContactNanos = nowNanos;
    if (status.hasMajority()) {
      noMajoritySinceNanos = Optional.empty();
    } else if (noMajoritySinceNanos.isEmpty()) {
      noMajoritySinceNanos = Optional.of(nowNanos);
    }
  }

  private void recordPrimary(PrimaryView view, long nowNanos, List<FailoverAction> actions) {
    raiseHighestTerm(view.term(), nowNanos);
    if (knownPrimary.isPresent() && knownPrimary.get().term() >= view.term()) {
      return;
    }
    knownPrimary = Optional.of(view);
    lastPrimaryContactNanos = nowNanos;
    noMajoritySinceNanos = Optional.empty();
    actions.add(new FailoverAction.PrimaryChanged(view.member(), view.term()));
    if (view.term() >= highestTerm) {
      endFailover(view.member(), actions);
    }
  }

  /** Ends the attempt and the switchover in progress, because the highest term has a primary. */
  private void endFailover(MemberId primary, List<FailoverAction> actions) {
    if (switchover != null) {
      boolean succeeded =
          switchover
              .requestedSuccessor()
              .map(primary::equals)
              .orElse(!primary.equals(switchover.oldPrimary()));
      endSwitchover(succeeded, "member " + primary + " is primary", actions);
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
    return knownPrimary.equals(Optional.of(new PrimaryView(member, term)));
  }

  /**
   * Returns whether no status, reply or peer report has shown a higher term than that of the known
   * primary.
   */
  private boolean hasPrimaryOfHighestTerm() {
    return knownPrimary.isPresent() && knownPrimary.get().term() == highestTerm;
  }

  // Failure detection.

  private boolean isPrimarySilent(long nowNanos) {
    return nowNanos - lastPrimaryContactNanos >= suspectAfterNanos;
  }

  private int majority() {
    return members.size() / 2 + 1;
  }

  /** Returns whether, by their latest answers, a majority of the members can promise a term. */
  private boolean isMajorityReachable(long nowNanos) {
    long answering =
        members.values().stream()
            .flatMap(member -> member.freshStatus(nowNanos, statusMaxAgeNanos).stream())
            .filter(status -> status.role() != MemberRole.JOINING)
            .count();
    return answering >= majority();
  }

  private boolean needsFailover(long nowNanos) {
    return isMajorityReachable(nowNanos)
        && (isPrimarySuspected(nowNanos)
            || hasPrimaryLostMajority(nowNanos)
            || isHighestTermAbandoned(nowNanos)
            || needsSwitchoverFromLeavingPrimary(nowNanos));
  }

  private boolean isPrimarySuspected(long nowNanos) {
    return knownPrimary.isPresent()
        && isPrimarySilent(nowNanos)
        && countMembersWithoutPrimaryContact(nowNanos) >= majority();
  }

  /** Counts the members without recent contact to the primary, a silent primary included. */
  private long countMembersWithoutPrimaryContact(long nowNanos) {
    return members.values().stream()
        .filter(member -> hasNoPrimaryContact(member, nowNanos))
        .count();
  }

  private boolean hasNoPrimaryContact(MemberObservation member, long nowNanos) {
    if (member.id().equals(knownPrimary.get().member())) {
      return isPrimarySilent(nowNanos);
    }
    return member
        .freshStatus(nowNanos, statusMaxAgeNanos)
        .filter(status -> status.primarySilence().toNanos() >= suspectAfterNanos)
        .isPresent();
  }

  /**
   * Returns whether the primary answers this proxy but has lost contact to a majority, so that it
   * can no longer acknowledge writes.
   */
  private boolean hasPrimaryLostMajority(long nowNanos) {
    if (knownPrimary.isEmpty() || noMajoritySinceNanos.isEmpty()) {
      return false;
    }
    return countMembersWithoutPrimaryContact(nowNanos) >= majority()
        || nowNanos - noMajoritySinceNanos.get() >= suspectAfterNanos;
  }

  /** Returns whether the highest term has no primary and its candidate, if any, has timed out. */
  private boolean isHighestTermAbandoned(long nowNanos) {
    if (hasPrimaryOfHighestTerm()) {
      return false;
    }
    boolean primaryWorks =
        knownPrimary
            .flatMap(view -> members.get(view.member()).freshStatus(nowNanos, statusMaxAgeNanos))
            .filter(status -> status.role() == MemberRole.PRIMARY)
            .filter(status -> status.hasMajority() && status.promisedTerm() <= status.term())
            .isPresent();
    boolean followed =
        members.values().stream()
            .flatMap(member -> member.freshStatus(nowNanos, statusMaxAgeNanos).stream())
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

  private boolean needsSwitchoverFromLeavingPrimary(long nowNanos) {
    return hasPrimaryOfHighestTerm()
        && nowNanos - nextLeavingSwitchoverNanos >= 0
        && isLeaving(knownPrimary.get().member(), nowNanos)
        && members.keySet().stream().anyMatch(member -> canTakeOver(member, nowNanos));
  }

  private boolean isLeaving(MemberId member, long nowNanos) {
    return members
        .get(member)
        .freshStatus(nowNanos, statusMaxAgeNanos)
        .filter(MemberStatus::leaving)
        .isPresent();
  }

  private boolean canTakeOver(MemberId member, long nowNanos) {
    return members
        .get(member)
        .freshStatus(nowNanos, statusMaxAgeNanos)
        .filter(status -> status.role() == MemberRole.REPLICA && !status.leaving())
        .isPresent();
  }

  // Steps of a failover.

  private void advance(long nowNanos, List<FailoverAction> actions) {
    switch (phase) {
      case WATCHING -> startDelayIfNeeded(nowNanos);
      case DELAYING -> endDelay(nowNanos, actions);
      case FENCING, CATCHING_UP -> continueFencing(nowNanos, actions);
      case PROMOTING -> promote(nowNanos, actions);
      case BACKING_OFF -> endBackoff(nowNanos, actions);
      case RELEARNING -> endRelearning(nowNanos);
    }
  }

  private void endRelearning(long nowNanos) {
    if (isMajorityReachable(nowNanos)) {
      phase = Phase.WATCHING;
    }
  }

  private void startDelayIfNeeded(long nowNanos) {
    if (needsFailover(nowNanos)) {
      phase = Phase.DELAYING;
      long jitter = random.nextLong(rankDelayNanos / 2 + 1);
      waitUntilNanos = nowNanos + rank * rankDelayNanos + jitter;
      highestTermAtDelayStart = highestTerm;
    }
  }

  private void endDelay(long nowNanos, List<FailoverAction> actions) {
    boolean otherCandidate = highestTerm != highestTermAtDelayStart;
    if (otherCandidate || !needsFailover(nowNanos)) {
      phase = Phase.WATCHING;
    } else if (nowNanos - waitUntilNanos >= 0) {
      startFailover(nowNanos, actions);
    }
  }

  private void startFailover(long nowNanos, List<FailoverAction> actions) {
    boolean onlyLeaving =
        needsSwitchoverFromLeavingPrimary(nowNanos)
            && !isPrimarySuspected(nowNanos)
            && !hasPrimaryLostMajority(nowNanos);
    if (onlyLeaving) {
      nextLeavingSwitchoverNanos = nowNanos + 4 * suspectAfterNanos;
      startSwitchover(Optional.empty(), nowNanos);
      advance(nowNanos, actions);
    } else {
      startAttempt(nowNanos, actions);
    }
  }

  private void startAttempt(long nowNanos, List<FailoverAction> actions) {
    raiseHighestTerm(highestTerm + 1, nowNanos);
    attempt = new FailoverAttempt(highestTerm, nowNanos, members.size());
    phase = Phase.FENCING;
    continueFencing(nowNanos, actions);
  }

  private boolean isFencing() {
    return attempt != null && (phase == Phase.FENCING || phase == Phase.CATCHING_UP);
  }

  private void continueFencing(long nowNanos, List<FailoverAction> actions) {
    if (attempt == null) {
      awaitCatchUp(nowNanos, actions);
      return;
    }
    if (attempt.cannotReachMajority()) {
      failAttempt("a majority has promised another term", nowNanos, actions);
      return;
    }
    if (attempt.hasMajority() && canSelectSuccessor(nowNanos)) {
      selectSuccessor(nowNanos, actions);
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
          attempt.hasRefusalOf(member)
              || (attempt.hasPromiseOf(member) && !isRequestedSuccessor(member));
      boolean send = !done && mayFenceNow(member, nowNanos);
      if (send && attempt.recordSendIfDue(member, nowNanos, resendAfterNanos)) {
        actions.add(new FailoverAction.SendFence(member, attempt.term));
      }
    }
  }

  // A switchover fences the old primary first, so that the replicas can receive all that it sent.
  private boolean mayFenceNow(MemberId member, long nowNanos) {
    if (switchover == null || member.equals(switchover.oldPrimary())) {
      return true;
    }
    return attempt.isFenced(switchover.oldPrimary())
        || nowNanos - attempt.startedNanos >= resendAfterNanos;
  }

  private boolean isRequestedSuccessor(MemberId member) {
    return switchover != null && switchover.requestedSuccessor().equals(Optional.of(member));
  }

  /** Returns whether more promises cannot lead to a better successor, or took too long. */
  private boolean canSelectSuccessor(long nowNanos) {
    if (nowNanos - attempt.startedNanos >= attemptTimeoutNanos / 2) {
      return true;
    }
    Optional<MemberId> requested =
        switchover == null ? Optional.empty() : switchover.requestedSuccessor();
    return requested
        .map(attempt::holdsAllAcknowledgedEntries)
        .orElseGet(
            () ->
                !avoidedSuccessor()
                    .equals(
                        Optional.of(
                            attempt.selectSuccessor(preferredSuccessor(), avoidedSuccessor()))));
  }

  /** Returns whether the known primary still works and no switchover is in progress. */
  private boolean shouldKeepPrimary() {
    return switchover == null
        && knownPrimary.isPresent()
        && !isPrimarySilent(lastCallNanos)
        && noMajoritySinceNanos.isEmpty();
  }

  private Optional<MemberId> avoidedSuccessor() {
    return shouldKeepPrimary() ? Optional.empty() : knownPrimary.map(PrimaryView::member);
  }

  private Optional<MemberId> preferredSuccessor() {
    if (switchover != null) {
      return switchover.requestedSuccessor();
    }
    return shouldKeepPrimary() ? knownPrimary.map(PrimaryView::member) : Optional.empty();
  }

  private void selectSuccessor(long nowNanos, List<FailoverAction> actions) {
    attempt.setSuccessor(attempt.selectSuccessor(preferredSuccessor(), avoidedSuccessor()));
    phase = Phase.PROMOTING;
    waitUntilNanos = nowNanos + attemptTimeoutNanos;
    promote(nowNanos, actions);
  }

  private void promote(long nowNanos, List<FailoverAction> actions) {
    MemberId chosen = attempt.successor().orElseThrow();
    if (nowNanos - waitUntilNanos >= 0) {
      failAttempt("member " + chosen + " did not answer the promotion", nowNanos, actions);
    } else if (attempt.recordSendIfDue(chosen, nowNanos, resendAfterNanos)) {
      actions.add(new FailoverAction.SendPromote(chosen, attempt.term));
    }
  }

  private void failAttempt(String reason, long nowNanos, List<FailoverAction> actions) {
    endSwitchover(false, reason, actions);
    attempt = null;
    int doublings = Math.min(failedAttempts, MAX_BACKOFF_DOUBLINGS);
    long maxDelayNanos = Math.min(backoffLimitNanos, backoffBaseNanos << doublings);
    failedAttempts++;
    waitUntilNanos = nowNanos + maxDelayNanos / 2 + random.nextLong(maxDelayNanos / 2 + 1);
    highestTermAtDelayStart = highestTerm;
    phase = Phase.BACKING_OFF;
  }

  private void endBackoff(long nowNanos, List<FailoverAction> actions) {
    if (highestTerm != highestTermAtDelayStart) {
      // Another candidate has claimed a higher term; it gets the time of one attempt to finish.
      phase = Phase.WATCHING;
    } else if (nowNanos - waitUntilNanos >= 0 && isMajorityReachable(nowNanos)) {
      startAttempt(nowNanos, actions);
    }
  }

  // Switchovers.

  private Optional<String> findSwitchoverObstacle(Optional<MemberId> successor, long nowNanos) {
    if (phase != Phase.WATCHING && phase != Phase.DELAYING) {
      return Optional.of("another failover or switchover is in progress; try again later");
    }
    if (!hasPrimaryOfHighestTerm() || isPrimarySilent(nowNanos)) {
      return Optional.of("the group has no working primary to switch from");
    }
    if (successor.isPresent() && !members.containsKey(successor.get())) {
      return Optional.of("member " + successor.get() + " is not in the group");
    }
    boolean possible =
        successor.isEmpty()
            ? members.keySet().stream().anyMatch(member -> canTakeOver(member, nowNanos))
            : knownPrimary.get().member().equals(successor.get())
                || canTakeOver(successor.get(), nowNanos);
    return possible
        ? Optional.empty()
        : Optional.of("no member can take over; it must answer, be a replica and not be leaving");
  }

  private void startSwitchover(Optional<MemberId> successor, long nowNanos) {
    MemberId oldPrimary = knownPrimary.get().member();
    LogPosition catchUpPosition =
        members
            .get(oldPrimary)
            .freshStatus(nowNanos, statusMaxAgeNanos)
            .map(MemberStatus::received)
            .orElse(LogPosition.START);
    switchover =
        new Switchover(successor, catchUpPosition, nowNanos + attemptTimeoutNanos, oldPrimary);
    phase = Phase.CATCHING_UP;
  }

  /**
   * Waits until a successor has received what the primary had at the start of the switchover.
   *
   * <p>No member is fenced before that, so the primary serves meanwhile.
   */
  private void awaitCatchUp(long nowNanos, List<FailoverAction> actions) {
    boolean caughtUp =
        members.values().stream()
            .filter(member -> switchover.requestedSuccessor().map(member.id()::equals).orElse(true))
            .filter(member -> canTakeOver(member.id(), nowNanos))
            .flatMap(member -> member.freshStatus(nowNanos, statusMaxAgeNanos).stream())
            .anyMatch(status -> status.received().compareTo(switchover.catchUpPosition()) >= 0);
    if (caughtUp) {
      startAttempt(nowNanos, actions);
    } else if (nowNanos - switchover.deadlineNanos() >= 0) {
      endSwitchover(false, "the successor did not catch up in time", actions);
      phase = Phase.WATCHING;
    }
  }

  private void endSwitchover(boolean changed, String detail, List<FailoverAction> actions) {
    if (switchover != null) {
      switchover = null;
      actions.add(new FailoverAction.SwitchoverFinished(changed, detail));
    }
  }
}
