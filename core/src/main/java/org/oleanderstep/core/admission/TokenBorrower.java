package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.oleanderstep.core.freshness.ClockReading;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Decides which VM to borrow tokens from when an organisation has none left on this VM.
 *
 * <pre>{@code
 * borrower.requestLoan(organisation, missing, now).ifPresent(link::send);
 * // on the reply of the lender:
 * borrower.onReply(reply, now).ifPresent(borrowed -> ...);
 * }</pre>
 *
 * <p>Covers loads that are uneven for a shorter time than rate claims take to adapt: bursts,
 * callers that have just moved to another VM, and rates too small to be divided among all VMs. The
 * lender deducts the tokens before it replies, and a late reply is discarded, so that no token
 * exists twice. Not thread-safe; use it from a single thread.
 */
public final class TokenBorrower {

  /** Age above which a reply is discarded. */
  public static final Duration REPLY_TIMEOUT = Duration.ofMillis(250);

  /**
   * A request for tokens.
   *
   * @param id unique over all processes
   */
  public record LoanRequest(long id, VmId lender, OrganisationId organisation, int tokens) {}

  /**
   * The reply of a lender.
   *
   * @param tokens tokens that it has deducted for the borrower
   * @param remaining tokens that it has left
   */
  public record LoanReply(long id, int tokens, double remaining) {}

  /**
   * Tokens that arrived in time; the lender expects a confirmation.
   *
   * @param requestedAt the time of the request, from which the age of the tokens counts
   */
  public record BorrowedTokens(LoanRequest request, int tokens, ClockReading requestedAt) {}

  private record Pending(LoanRequest request, ClockReading requestedAt) {}

  private final BorrowingPolicy policy;
  private final LenderReachability reachability;
  private final Map<Long, Pending> pending = new HashMap<>();
  private final Map<OrganisationId, Map<Long, Pending>> pendingByOrganisation = new HashMap<>();
  private final Map<OrganisationId, GrantRatio> grantRatios = new HashMap<>();
  private final Map<OrganisationId, PeerTokenEstimates> estimates = new HashMap<>();
  private Map<OrganisationId, RateLimiter.Limit> limits = Map.of();
  private Map<OrganisationId, Map<VmId, Double>> shares = Map.of();
  private long nextId;
  private int unanswered;

  /**
   * Creates a borrower without lenders.
   *
   * @param firstId a random number, so that request ids are unique over all processes
   */
  public TokenBorrower(long firstId) {
    this(firstId, BorrowingPolicy.STANDARD);
  }

  /**
   * Creates a borrower without lenders.
   *
   * @param firstId a random number, so that request ids are unique over all processes
   */
  public TokenBorrower(long firstId, BorrowingPolicy policy) {
    nextId = firstId;
    this.policy = policy;
    reachability = new LenderReachability(policy);
  }

  /** Returns how persistently this borrower asks for tokens. */
  BorrowingPolicy policy() {
    return policy;
  }

  /** Updates the limits, and the shares that the possible lenders hold of them. */
  public void update(
      Map<OrganisationId, RateLimiter.Limit> newLimits,
      Map<OrganisationId, Map<VmId, Double>> newShares) {
    limits = Map.copyOf(newLimits);
    shares = Map.copyOf(newShares);
    estimates.keySet().retainAll(limits.keySet());
    grantRatios.keySet().retainAll(limits.keySet());
  }

  /** Returns a request to the VM with the most estimated tokens, if any VM has at least one. */
  public Optional<LoanRequest> requestLoan(
      OrganisationId organisation, int missing, ClockReading now) {
    long nanos = now.monotonicNanos();
    PeerTokenEstimates peers =
        estimates.computeIfAbsent(organisation, o -> new PeerTokenEstimates());
    Optional<Candidate> best =
        shares.getOrDefault(organisation, Map.of()).keySet().stream()
            .filter(vm -> mayAsk(peers, organisation, vm, nanos))
            .map(vm -> candidate(peers, organisation, vm, now))
            .filter(candidate -> candidate.tokens >= 1)
            .max(PREFERENCE);
    return best.map(candidate -> createRequest(peers, organisation, candidate, missing, now));
  }

  /** Returns the VM with the largest share of an organisation's rate, if any has one. */
  public Optional<VmId> selectLender(OrganisationId organisation) {
    return shares.getOrDefault(organisation, Map.of()).entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  private record Candidate(VmId vm, int unanswered, double tokens) {}

  private static final Comparator<Candidate> PREFERENCE =
      Comparator.comparingInt((Candidate each) -> -each.unanswered)
          .thenComparingDouble(Candidate::tokens);

  private Candidate candidate(
      PeerTokenEstimates peers, OrganisationId organisation, VmId vm, ClockReading now) {
    int unanswered = policy.awaitsLenders() ? reachability.unanswered(vm) : 0;
    return new Candidate(vm, unanswered, estimate(peers, organisation, vm, now));
  }

  private boolean mayAsk(
      PeerTokenEstimates peers, OrganisationId organisation, VmId vm, long nanos) {
    if (!policy.awaitsLenders()) {
      return !peers.isInBackoff(vm, policy.firstBackoff().toNanos(), nanos);
    }
    return !reachability.isAvoided(vm, nanos)
        && peers.pauseNanos(vm, rateOf(organisation, vm), nanos) <= 0;
  }

  private double rateOf(OrganisationId organisation, VmId vm) {
    RateLimiter.Limit limit = limits.get(organisation);
    double share = shares.get(organisation).getOrDefault(vm, 0.0);
    return limit == null ? 0 : share * limit.ratePerSecond();
  }

  /**
   * Returns the tokens that the lenders will have beyond those that are requested already, so that
   * operations may wait for them.
   */
  LenderForecast forecast(OrganisationId organisation, ClockReading now) {
    PeerTokenEstimates peers = estimates.get(organisation);
    if (!policy.awaitsLenders() || peers == null) {
      return LenderForecast.NONE;
    }
    long nanos = now.monotonicNanos();
    List<LenderForecast.Lender> lenders = new ArrayList<>();
    for (VmId vm : shares.getOrDefault(organisation, Map.of()).keySet()) {
      double rate = rateOf(organisation, vm);
      long pause = peers.pauseNanos(vm, rate, nanos);
      if (!reachability.isAvoided(vm, nanos)) {
        lenders.add(new LenderForecast.Lender(estimate(peers, organisation, vm, now), rate, pause));
      }
    }
    double granted = grantRatios.getOrDefault(organisation, new GrantRatio()).value();
    return new LenderForecast(lenders, granted);
  }

  private double estimate(
      PeerTokenEstimates peers, OrganisationId organisation, VmId vm, ClockReading now) {
    RateLimiter.Limit limit = limits.get(organisation);
    if (limit == null) {
      return 0;
    }
    double share = shares.get(organisation).getOrDefault(vm, 0.0);
    double held =
        peers.estimate(
            vm, share * limit.ratePerSecond(), share * limit.burst(), now.monotonicNanos());
    return held - pendingTokens(organisation, now, request -> request.lender.equals(vm));
  }

  private LoanRequest createRequest(
      PeerTokenEstimates peers,
      OrganisationId organisation,
      Candidate candidate,
      int missing,
      ClockReading now) {
    int tokens = (int) Math.min(missing, Math.floor(candidate.tokens));
    LoanRequest request = new LoanRequest(nextId++, candidate.vm, organisation, tokens);
    peers.recordRequest(candidate.vm, now.monotonicNanos());
    Pending sent = new Pending(request, now);
    pending.put(request.id, sent);
    pendingByOrganisation.computeIfAbsent(organisation, o -> new HashMap<>()).put(request.id, sent);
    return request;
  }

  /** Returns the tokens that were requested for an organisation and are still expected. */
  public int pendingTokens(OrganisationId organisation, ClockReading now) {
    return pendingTokens(organisation, now, request -> true);
  }

  private Pending removePending(long id) {
    Pending removed = pending.remove(id);
    if (removed != null) {
      OrganisationId organisation = removed.request.organisation;
      Map<Long, Pending> others = pendingByOrganisation.get(organisation);
      others.remove(id);
      if (others.isEmpty()) {
        pendingByOrganisation.remove(organisation);
      }
    }
    return removed;
  }

  private int pendingTokens(
      OrganisationId organisation, ClockReading now, Predicate<LoanRequest> filter) {
    return pendingByOrganisation.getOrDefault(organisation, Map.of()).values().stream()
        .filter(each -> filter.test(each.request))
        .filter(each -> each.requestedAt.ageAt(now).compareTo(policy.overdueAfter()) < 0)
        .mapToInt(each -> each.request.tokens)
        .sum();
  }

  /** Accepts the reply of a lender; empty if it was not requested or came too late. */
  public Optional<BorrowedTokens> onReply(LoanReply reply, ClockReading now) {
    Pending answered = removePending(reply.id);
    if (answered == null || answered.requestedAt.ageAt(now).compareTo(REPLY_TIMEOUT) > 0) {
      return Optional.empty();
    }
    PeerTokenEstimates peers = estimates.get(answered.request.organisation);
    if (peers != null) {
      peers.recordReply(answered.request.lender, reply.remaining, now.monotonicNanos());
      peers.recordLent(answered.request.lender, reply.tokens > 0, now.monotonicNanos());
    }
    grantRatios
        .computeIfAbsent(answered.request.organisation, o -> new GrantRatio())
        .record(answered.request.tokens, reply.tokens);
    reachability.onReply(answered.request.lender);
    return Optional.of(new BorrowedTokens(answered.request, reply.tokens, answered.requestedAt));
  }

  /** Returns how many requests got no reply in time since the last call. */
  int takeUnanswered() {
    int count = unanswered;
    unanswered = 0;
    return count;
  }

  /** Backs off from VMs that did not answer; returns the organisations with overdue requests. */
  public Set<OrganisationId> tick(ClockReading now) {
    Set<OrganisationId> affected = new HashSet<>();
    for (Pending each : List.copyOf(pending.values())) {
      Duration age = each.requestedAt.ageAt(now);
      if (age.compareTo(policy.overdueAfter()) >= 0) {
        PeerTokenEstimates peers = estimates.get(each.request.organisation);
        if (peers != null
            && peers.isRequestOverdue(
                each.request.lender, policy.overdueAfter().toNanos(), now.monotonicNanos())) {
          peers.recordTimeout(each.request.lender, now.monotonicNanos());
        }
        reachability.onTimeout(
            each.request.lender, each.requestedAt.monotonicNanos(), now.monotonicNanos());
        affected.add(each.request.organisation);
      }
      if (age.compareTo(REPLY_TIMEOUT) > 0) {
        removePending(each.request.id);
        unanswered++;
      }
    }
    return affected;
  }
}
