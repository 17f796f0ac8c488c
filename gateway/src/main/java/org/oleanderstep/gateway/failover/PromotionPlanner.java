package org.oleanderstep.gateway.failover;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.placement.EvacuatedDomains;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.TargetMember;

/**
 * Decides when a service needs a new primary and which member to promote.
 *
 * <pre>{@code
 * for (PromotionNeed need : planner.findNeeds(view, now)) {
 *   planner.onStarted(need, now);
 *   // ask planner.membersToAsk(need, view, now) which log position each has received, then:
 *   Optional<Promotion> promotion = planner.choose(need, reported, view, now);
 *   // send it, then: planner.onResult(promotion.get(), result, now);
 * }
 * }</pre>
 *
 * <p>A member is chosen by positions that were asked for after the primary was lost. An earlier
 * position says nothing about the commits that a member has received since. Where a commit is
 * acknowledged only once replicas have received it, a member is promoted only if the replicas that
 * answered show that it has every such commit.
 *
 * <p>Every VM decides independently. The first VM in rank acts first. The others wait, and normally
 * learn of its promotion before their own delay ends ({@link #onPromotedElsewhere}). The platform's
 * fencing keeps requests that arrive late from taking effect after newer ones.
 *
 * <p>Not thread-safe; call only from the control thread. Times are in nanoseconds of the monotonic
 * clock.
 */
public final class PromotionPlanner {

  /** Delay for each VM that comes before this one in rank. */
  private static final Duration RANK_DELAY = Duration.ofMillis(700);

  /** Time until a promotion is visible in the members' own registry entries. */
  private static final Duration SETTLE_PERIOD = Duration.ofMillis(2_500);

  private static final Duration RETRY_DELAY = Duration.ofMillis(400);
  private static final Duration EXCLUSION_PERIOD = Duration.ofSeconds(3);

  /** A single VM may itself be partitioned, even if there are only two. */
  private static final int MIN_VOTES = 2;

  /**
   * Time without any other candidate after which a former primary may be promoted although it has
   * not followed its successor.
   */
  private static final Duration FORMER_PRIMARY_DELAY = Duration.ofSeconds(15);

  /**
   * Time after which a replica that is no longer registered is not waited for, although it may have
   * the only copy of an acknowledged commit.
   */
  private static final Duration LOST_REPLICA_DELAY = Duration.ofSeconds(60);

  /**
   * The state of the members and VMs as this VM knows it.
   *
   * @param members all registered members
   * @param votes by member, the number of VMs that get no answer from it
   * @param ownSuspects members that do not answer this VM
   * @param positions the log positions that members have reported to this VM at any time
   * @param syncReplicas by service, the replicas that have received a commit when it is
   *     acknowledged; 0 if absent
   * @param vmCount the number of participating VMs
   * @param rank the number of VMs that act before this one
   * @param evacuated the failure domains whose members may not be asked, and not be primary
   */
  public record View(
      Collection<TargetMember> members,
      Map<MemberId, Integer> votes,
      Set<MemberId> ownSuspects,
      Map<MemberId, LogPosition> positions,
      Map<String, Integer> syncReplicas,
      int vmCount,
      int rank,
      EvacuatedDomains evacuated) {

    /** Creates a view in which no failure domain is evacuated. */
    public View(
        Collection<TargetMember> members,
        Map<MemberId, Integer> votes,
        Set<MemberId> ownSuspects,
        Map<MemberId, LogPosition> positions,
        Map<String, Integer> syncReplicas,
        int vmCount,
        int rank) {
      this(
          members,
          votes,
          ownSuspects,
          positions,
          syncReplicas,
          vmCount,
          rank,
          EvacuatedDomains.NONE);
    }

    private boolean mayBePrimary(TargetMember member) {
      return evacuated.accessTo(member.failureDomain()).allowsPrimary();
    }

    private List<TargetMember> membersOf(String service) {
      return members.stream().filter(member -> member.service().equals(service)).toList();
    }

    private int syncReplicasOf(String service) {
      return syncReplicas.getOrDefault(service, 0);
    }
  }

  private static final class ServiceState {
    private Optional<PromotionReason> reason = Optional.empty();
    private long reasonSince;
    private long suppressedUntil;
    private boolean hadPrimary;
    // The latest primary, and the members that followed it when it was last known to be well.
    private Set<MemberId> leaders = Set.of();
    private Map<MemberId, InetSocketAddress> replicas = Map.of();
    // By former or present primary, the latest term that it reported while it was the primary.
    private final Map<MemberId, Long> lastTermAsPrimary = new HashMap<>();

    private boolean isUnreachable() {
      return reason.filter(PromotionReason.UNREACHABLE::equals).isPresent();
    }
  }

  private final Map<String, ServiceState> states = new HashMap<>();
  private final Map<MemberId, Long> excludedUntil = new HashMap<>();

  /** Returns the services that need a new primary and for which this VM should act now. */
  public List<PromotionNeed> findNeeds(View view, long now) {
    Set<String> services =
        view.members().stream().map(TargetMember::service).collect(Collectors.toSet());
    services.addAll(states.keySet());
    List<PromotionNeed> needs = new ArrayList<>();
    services.forEach(service -> findNeed(service, view, now).ifPresent(needs::add));
    return needs;
  }

  private Optional<PromotionNeed> findNeed(String service, View view, long now) {
    ServiceState state = state(service);
    List<TargetMember> members = view.membersOf(service);
    recordLeaders(state, members, view);
    Optional<PromotionReason> reason = findReason(state, members, view);
    boolean isMissing = reason.filter(PromotionReason.MISSING::equals).isPresent();
    if (isMissing && state.isUnreachable() && areUnreachable(state.leaders, view)) {
      // The entry of a lost primary has expired, which confirms that it is lost.
      reason = state.reason;
    }
    recordReplicas(state, members, reason.isEmpty());
    if (!reason.equals(state.reason)) {
      state.reason = reason;
      state.reasonSince = now;
    }
    if (reason.isEmpty() || now < state.suppressedUntil) {
      return Optional.empty();
    }
    Duration delay = reason.get().confirmationPeriod().plus(RANK_DELAY.multipliedBy(view.rank()));
    if (now - state.reasonSince < delay.toNanos()) {
      return Optional.empty();
    }
    return Optional.of(new PromotionNeed(service, reason.get()));
  }

  /** Returns the members to ask for their positions, before {@link #choose} can choose one. */
  public Set<MemberId> membersToAsk(PromotionNeed need, View view, long now) {
    boolean needsAll = view.syncReplicasOf(need.service()) > 0;
    Set<MemberId> excluded = excludedMembers(view, now);
    return view.membersOf(need.service()).stream()
        .filter(member -> !member.claimsPrimary() && view.mayBePrimary(member))
        .filter(member -> needsAll || (!member.draining() && !excluded.contains(member.id())))
        .map(TargetMember::id)
        .collect(Collectors.toSet());
  }

  /**
   * Returns the promotion to request, or an empty result if the need no longer exists or the
   * answers don't allow the choice of a member.
   *
   * @param reported the positions that members have reported since they were asked
   */
  public Optional<Promotion> choose(
      PromotionNeed need, Map<MemberId, LogPosition> reported, View view, long now) {
    ServiceState state = state(need.service());
    List<TargetMember> members = view.membersOf(need.service());
    recordLeaders(state, members, view);
    if (findReason(state, members, view).isEmpty()) {
      return Optional.empty();
    }
    long waitingNanos = now - state.reasonSince;
    boolean lastResort = waitingNanos > FORMER_PRIMARY_DELAY.toNanos();
    List<TargetMember> heard =
        members.stream()
            .filter(member -> !member.claimsPrimary() && reported.containsKey(member.id()))
            .filter(member -> lastResort || hasFollowedSuccessor(state, member, view, reported))
            .toList();
    int syncReplicas = view.syncReplicasOf(need.service());
    if (syncReplicas > 0) {
      boolean giveUpLost = waitingNanos > LOST_REPLICA_DELAY.toNanos();
      Set<MemberId> unheard = unheardReplicas(state, members, reported.keySet(), giveUpLost);
      if (unheard.size() >= syncReplicas) {
        return Optional.empty();
      }
    }
    return select(heard, reported, syncReplicas, excludedMembers(view, now))
        .map(member -> new Promotion(need.service(), member.id(), need.reason()));
  }

  /** Returns whether a service still needs the promotion, and the member may still be primary. */
  public boolean isNeeded(Promotion promotion, View view) {
    ServiceState state = state(promotion.service());
    List<TargetMember> members = view.membersOf(promotion.service());
    boolean evacuated =
        members.stream()
            .anyMatch(
                member -> member.id().equals(promotion.member()) && !view.mayBePrimary(member));
    return !evacuated && findReason(state, members, view).isPresent();
  }

  /**
   * Returns the replicas that may have an acknowledged commit which no answer tells of. A replica
   * whose address another member has taken over has handed its log to that member.
   */
  private static Set<MemberId> unheardReplicas(
      ServiceState state, List<TargetMember> members, Set<MemberId> heard, boolean giveUpLost) {
    Map<InetSocketAddress, MemberId> registered = new HashMap<>();
    members.forEach(member -> registered.put(member.address(), member.id()));
    Set<MemberId> unheard = new HashSet<>();
    state.replicas.forEach(
        (id, address) -> {
          boolean isHeard = heard.contains(id) || heard.contains(registered.get(address));
          boolean isGivenUp = giveUpLost && !registered.containsValue(id);
          if (!isHeard && !isGivenUp) {
            unheard.add(id);
          }
        });
    return unheard;
  }

  /**
   * Selects the member with the highest position. Where replicas confirm commits, a member with a
   * lower one may lack an acknowledged commit, so that no other is chosen, and one that drains may
   * be.
   */
  private static Optional<TargetMember> select(
      List<TargetMember> heard,
      Map<MemberId, LogPosition> reported,
      int syncReplicas,
      Set<MemberId> excluded) {
    LogPosition highest =
        heard.stream()
            .map(member -> reported.get(member.id()))
            .reduce(LogPosition.START, LogPosition::max);
    Stream<TargetMember> candidates =
        syncReplicas > 0
            ? heard.stream().filter(member -> reported.get(member.id()).equals(highest))
            : heard.stream().filter(member -> !member.draining());
    return candidates
        .filter(member -> !excluded.contains(member.id()))
        .max(
            Comparator.comparing((TargetMember member) -> reported.get(member.id()))
                .thenComparing(member -> !member.draining())
                .thenComparing(member -> member.id().name()));
  }

  private static void recordLeaders(ServiceState state, List<TargetMember> members, View view) {
    for (TargetMember member : members) {
      if (member.claimsPrimary()) {
        state.lastTermAsPrimary.merge(member.id(), term(member, view), Math::max);
      }
    }
  }

  private static long term(TargetMember member, View view) {
    return view.positions().getOrDefault(member.id(), LogPosition.START).term();
  }

  /** Records which members may have commits that the primary has acknowledged. */
  private static void recordReplicas(
      ServiceState state, List<TargetMember> members, boolean primaryIsWell) {
    Set<MemberId> leaders =
        members.stream()
            .filter(TargetMember::claimsPrimary)
            .map(TargetMember::id)
            .collect(Collectors.toSet());
    boolean isNew = !leaders.equals(state.leaders);
    if (leaders.isEmpty() || !(primaryIsWell || isNew)) {
      return;
    }
    Map<MemberId, InetSocketAddress> replicas = new HashMap<>();
    if (!primaryIsWell) {
      replicas.putAll(state.replicas);
    }
    members.forEach(member -> replicas.put(member.id(), member.address()));
    replicas.keySet().removeAll(leaders);
    state.leaders = leaders;
    state.replicas = replicas;
  }

  /**
   * Returns whether the log of a member is a prefix of the log of the current term. A former
   * primary may hold commits that its successor lacks. If it were promoted again, these would
   * reappear and the commits of its successor would be lost. A position of a later term shows that
   * the member has followed its successor.
   */
  private static boolean hasFollowedSuccessor(
      ServiceState state, TargetMember member, View view, Map<MemberId, LogPosition> reported) {
    Long lastTerm = state.lastTermAsPrimary.get(member.id());
    long term = Math.max(term(member, view), reported.get(member.id()).term());
    return lastTerm == null || term > lastTerm;
  }

  private static Optional<PromotionReason> findReason(
      ServiceState state, List<TargetMember> members, View view) {
    List<TargetMember> leaders = members.stream().filter(TargetMember::claimsPrimary).toList();
    if (leaders.isEmpty()) {
      // A newly created service chooses its first primary itself.
      return state.hadPrimary ? Optional.of(PromotionReason.MISSING) : Optional.empty();
    }
    state.hadPrimary = true;
    if (leaders.stream().allMatch(leader -> isUnreachable(leader, view))) {
      return Optional.of(PromotionReason.UNREACHABLE);
    }
    if (leaders.stream().allMatch(TargetMember::draining)) {
      return Optional.of(PromotionReason.LEAVING);
    }
    boolean anyEvacuated = leaders.stream().anyMatch(leader -> !view.mayBePrimary(leader));
    if (anyEvacuated && leaders.stream().allMatch(leader -> isLost(leader, view))) {
      return Optional.of(PromotionReason.EVACUATED);
    }
    return Optional.empty();
  }

  private static boolean isLost(TargetMember leader, View view) {
    return !view.mayBePrimary(leader) || leader.draining() || isUnreachable(leader, view);
  }

  private static boolean isUnreachable(TargetMember leader, View view) {
    return areUnreachable(Set.of(leader.id()), view);
  }

  private static boolean areUnreachable(Set<MemberId> leaders, View view) {
    return leaders.stream().allMatch(id -> view.votes().getOrDefault(id, 0) >= requiredVotes(view));
  }

  /**
   * Requires a majority: a primary that most VMs can reach serves more callers than a successor
   * that only a few can reach.
   */
  private static int requiredVotes(View view) {
    int majority = view.vmCount() / 2 + 1;
    return Math.min(view.vmCount(), Math.max(MIN_VOTES, majority));
  }

  private Set<MemberId> excludedMembers(View view, long now) {
    Set<MemberId> excluded = new HashSet<>(view.ownSuspects());
    view.votes()
        .forEach(
            (id, votes) -> {
              if (votes >= requiredVotes(view)) {
                excluded.add(id);
              }
            });
    view.members().stream()
        .filter(member -> !view.mayBePrimary(member))
        .forEach(member -> excluded.add(member.id()));
    excludedUntil.values().removeIf(until -> now - until >= 0);
    excluded.addAll(excludedUntil.keySet());
    return excluded;
  }

  /** Suppresses further requests for the service while this one is in progress. */
  public void onStarted(PromotionNeed need, long now) {
    state(need.service()).suppressedUntil = now + SETTLE_PERIOD.toNanos();
  }

  /** Allows another attempt soon, after this one ended without a request to the platform. */
  public void onNotRequested(PromotionNeed need, long now) {
    state(need.service()).suppressedUntil = now + RETRY_DELAY.toNanos();
  }

  /**
   * Suppresses requests for a service for which another VM has promoted a member: until the entries
   * of the members show it, a second request would replace that member.
   */
  public void onPromotedElsewhere(String service, long now) {
    state(service).suppressedUntil = now + SETTLE_PERIOD.toNanos();
  }

  /** Handles the platform's response to a promotion request. */
  public void onResult(Promotion promotion, PromotionResult result, long now) {
    ServiceState state = state(promotion.service());
    switch (result) {
      case ACCEPTED -> state.suppressedUntil = now + SETTLE_PERIOD.toNanos();
      case REFUSED -> {
        excludedUntil.put(promotion.member(), now + EXCLUSION_PERIOD.toNanos());
        state.suppressedUntil = now + RETRY_DELAY.toNanos();
      }
      // A request that was not answered may still be carried out, so that the same member is best.
      case NOT_DONE, UNKNOWN -> state.suppressedUntil = now + RETRY_DELAY.toNanos();
    }
  }

  private ServiceState state(String service) {
    return states.computeIfAbsent(service, s -> new ServiceState());
  }
}
