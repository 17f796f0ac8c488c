package org.oleanderstep.gateway.failover;

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
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.gateway.control.TargetMember;

/**
 * Decides when a service needs a new primary and which member to promote.
 *
 * <pre>{@code
 * for (Promotion promotion : planner.planPromotions(view, now)) {
 *   planner.onRequested(promotion, now);
 *   // send it, then: planner.onResult(promotion, result, now);
 * }
 * }</pre>
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
   * The state of the members and VMs as this VM knows it.
   *
   * @param members all registered members
   * @param votes by member, the number of VMs that get no answer from it
   * @param ownSuspects members that do not answer this VM
   * @param positions the log positions that members have reported to this VM
   * @param vmCount the number of participating VMs
   * @param rank the number of VMs that act before this one
   */
  public record View(
      Collection<TargetMember> members,
      Map<MemberId, Integer> votes,
      Set<MemberId> ownSuspects,
      Map<MemberId, LogPosition> positions,
      int vmCount,
      int rank) {}

  private static final class ServiceState {
    private Optional<PromotionReason> reason = Optional.empty();
    private long reasonSince;
    private long suppressedUntil;
    private boolean hadPrimary;
    // By former or present primary, the latest term that it reported while it was the primary.
    private final Map<MemberId, Long> lastTermAsPrimary = new HashMap<>();
  }

  private final Map<String, ServiceState> states = new HashMap<>();
  private final Map<MemberId, Long> excludedUntil = new HashMap<>();

  /** Returns the promotions that this VM should request now. */
  public List<Promotion> planPromotions(View view, long now) {
    Map<String, List<TargetMember>> services =
        view.members().stream().collect(Collectors.groupingBy(TargetMember::service));
    states.keySet().forEach(name -> services.computeIfAbsent(name, n -> List.of()));
    List<Promotion> promotions = new ArrayList<>();
    services.forEach(
        (service, members) ->
            planPromotion(service, members, view, now).ifPresent(promotions::add));
    return promotions;
  }

  private Optional<Promotion> planPromotion(
      String service, List<TargetMember> members, View view, long now) {
    ServiceState state = states.computeIfAbsent(service, s -> new ServiceState());
    recordLeaders(state, members, view);
    Optional<PromotionReason> reason = findReason(state, members, view);
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
    boolean lastResort = now - state.reasonSince > FORMER_PRIMARY_DELAY.toNanos();
    return selectCandidate(
            members, view, now, member -> lastResort || hasFollowedSuccessor(state, member, view))
        .map(member -> new Promotion(service, member.id(), reason.get()));
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

  /**
   * Returns whether the log of a member is a prefix of the log of the current term. A former
   * primary may hold commits that its successor lacks. If it were promoted again, these would
   * reappear and the commits of its successor would be lost. A position of a later term shows that
   * the member has followed its successor.
   */
  private static boolean hasFollowedSuccessor(ServiceState state, TargetMember member, View view) {
    Long lastTerm = state.lastTermAsPrimary.get(member.id());
    return lastTerm == null || term(member, view) > lastTerm;
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
    return Optional.empty();
  }

  private static boolean isUnreachable(TargetMember leader, View view) {
    return view.votes().getOrDefault(leader.id(), 0) >= requiredVotes(view);
  }

  /**
   * Requires a majority: a primary that most VMs can reach serves more callers than a successor
   * that only a few can reach.
   */
  private static int requiredVotes(View view) {
    int majority = view.vmCount() / 2 + 1;
    return Math.min(view.vmCount(), Math.max(MIN_VOTES, majority));
  }

  private Optional<TargetMember> selectCandidate(
      List<TargetMember> members, View view, long now, Predicate<TargetMember> isEligible) {
    Set<MemberId> excluded = new HashSet<>(view.ownSuspects());
    view.votes()
        .forEach(
            (id, votes) -> {
              if (votes >= requiredVotes(view)) {
                excluded.add(id);
              }
            });
    excludedUntil.values().removeIf(until -> now - until >= 0);
    excluded.addAll(excludedUntil.keySet());
    return members.stream()
        .filter(member -> !member.claimsPrimary() && !member.draining())
        .filter(member -> !excluded.contains(member.id()))
        .filter(isEligible)
        .max(
            Comparator.comparing(
                    (TargetMember m) -> view.positions().getOrDefault(m.id(), LogPosition.START))
                .thenComparing(m -> m.id().name()));
  }

  /** Suppresses further requests for the service while this one is in progress. */
  public void onRequested(Promotion promotion, long now) {
    state(promotion).suppressedUntil = now + SETTLE_PERIOD.toNanos();
  }

  /**
   * Suppresses requests for a service for which another VM has promoted a member: until the entries
   * of the members show it, a second request would replace that member.
   */
  public void onPromotedElsewhere(String service, long now) {
    ServiceState state = states.computeIfAbsent(service, s -> new ServiceState());
    state.suppressedUntil = now + SETTLE_PERIOD.toNanos();
  }

  /** Handles the platform's response to a promotion request. */
  public void onResult(Promotion promotion, PromotionResult result, long now) {
    switch (result) {
      case ACCEPTED -> state(promotion).suppressedUntil = now + SETTLE_PERIOD.toNanos();
      case REFUSED, UNKNOWN -> {
        excludedUntil.put(promotion.member(), now + EXCLUSION_PERIOD.toNanos());
        state(promotion).suppressedUntil = now + RETRY_DELAY.toNanos();
      }
      case NOT_DONE -> state(promotion).suppressedUntil = now + RETRY_DELAY.toNanos();
    }
  }

  private ServiceState state(Promotion promotion) {
    return states.computeIfAbsent(promotion.service(), s -> new ServiceState());
  }
}
