package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Limits the operations of each organisation on one VM to the share of its rate and burst that the
 * VM has claimed.
 *
 * <pre>{@code
 * limiter.update(limits, claims.claimedBy(vm), now);
 * if (!limiter.tryAcquire(organisation, now)) refuse();
 * }</pre>
 *
 * <p>The shares of all VMs add up to at most one, so that a network partition can't raise the
 * total. Not thread-safe; use it from a single thread. Times are nanoseconds of a monotonic clock.
 */
public final class RateLimiter {

  /**
   * The limit of an organisation.
   *
   * @param ratePerSecond operations a second over all VMs
   * @param burst operations above the rate that are admitted at once
   */
  public record Limit(double ratePerSecond, double burst) {

    /** Checks that neither value is negative. */
    public Limit {
      if (ratePerSecond < 0 || burst < 0) {
        throw new IllegalArgumentException(
            "rate and burst must not be negative: " + ratePerSecond + ", " + burst);
      }
    }
  }

  // A bucket with a smaller cap could never hold the token of a single operation.
  private static final double MIN_BURST = 1;
  private static final double MIN_RATE = 1e-6;

  /**
   * Tokens of a bucket that opens for the first time. A process that has just started doesn't know
   * which tokens its VM has used, so it starts without a full burst.
   */
  private static final double INITIAL_TOKENS = 3;

  private static final Duration NEVER = Duration.ofNanos(Long.MAX_VALUE);

  /** Longer than a borrower accepts a reply, with a margin for clocks that run at other speeds. */
  private static final Duration LOAN_LIFETIME = TokenBorrower.REPLY_TIMEOUT.plusMillis(50);

  private record Allocation(
      Limit limit, double share, TokenBucket bucket, boolean hasBeenOpen, TokenLoans loans) {

    private void applyCap(long now) {
      bucket.setCap(Math.max(0, cap(limit, share) - loans.lentTokens()), now);
    }
  }

  private static double cap(Limit limit, double share) {
    return Math.max(MIN_BURST, limit.burst * share);
  }

  private final Map<OrganisationId, Allocation> allocations = new HashMap<>();

  /**
   * Updates the limits and the shares of this VM. A changed bucket keeps its tokens up to its new
   * cap.
   *
   * @param shares the share of each limit that this VM may use, from 0 to 1; zero if absent
   */
  public void update(
      Map<OrganisationId, Limit> limits, Map<OrganisationId, Double> shares, long now) {
    allocations.keySet().retainAll(limits.keySet());
    limits.forEach(
        (organisation, limit) ->
            allocations.compute(
                organisation,
                (id, current) -> resize(current, limit, shares.getOrDefault(id, 0.0), now)));
  }

  private static Allocation resize(Allocation current, Limit limit, double share, long now) {
    if (current != null && current.limit.equals(limit) && current.share == share) {
      return current;
    }
    if (share <= 0) {
      boolean hasBeenOpen = current != null && current.hasBeenOpen;
      return new Allocation(limit, share, TokenBucket.closed(now), hasBeenOpen, loansOf(current));
    }
    double rate = Math.max(MIN_RATE, limit.ratePerSecond * share);
    double cap = cap(limit, share);
    boolean first = current == null || !current.hasBeenOpen;
    double tokens =
        first ? Math.min(cap, INITIAL_TOKENS) : Math.min(cap, current.bucket.tokens(now));
    Allocation allocation =
        new Allocation(
            limit, share, TokenBucket.of(rate, cap, tokens, now), true, loansOf(current));
    allocation.applyCap(now);
    return allocation;
  }

  private static TokenLoans loansOf(Allocation current) {
    return current == null ? new TokenLoans() : current.loans;
  }

  /** Consumes a token of an organisation if one is available. */
  public boolean tryAcquire(OrganisationId organisation, long now) {
    Allocation allocation = allocations.get(organisation);
    return allocation != null && allocation.bucket.tryTake(now);
  }

  /**
   * Returns how long it takes until an organisation has a number of tokens on this VM if it uses
   * none meanwhile; decades or longer if it has no share.
   */
  public Duration timeUntil(OrganisationId organisation, int tokens, long now) {
    Allocation allocation = allocations.get(organisation);
    return allocation == null ? NEVER : Duration.ofNanos(allocation.bucket.nanosUntil(tokens, now));
  }

  /**
   * Deducts tokens for another VM and returns how many, possibly zero.
   *
   * @param reserved tokens that are kept for requests waiting on this VM
   */
  public int lend(TokenBorrower.LoanRequest request, int reserved, long now) {
    Allocation allocation = allocations.get(request.organisation());
    if (allocation == null || allocation.share <= 0) {
      return 0;
    }
    int tokens =
        (int) Math.min(request.tokens(), Math.floor(allocation.bucket.tokens(now)) - reserved);
    if (tokens <= 0
        || allocation.loans.contains(request.id())
        || !allocation.bucket.tryTake(tokens, now)) {
      return 0;
    }
    allocation.loans.add(request.id(), tokens, now);
    allocation.applyCap(now);
    return tokens;
  }

  /** Ends a loan whose tokens have arrived at the borrower. */
  public void confirmLoan(OrganisationId organisation, long id, long now) {
    Allocation allocation = allocations.get(organisation);
    if (allocation != null && allocation.loans.confirm(id) && allocation.share > 0) {
      allocation.applyCap(now);
    }
  }

  /**
   * Ends a loan of which the borrower gives tokens back. After the loan has ended by itself, they
   * are lost: the bucket may have been refilled meanwhile.
   */
  public void returnLoan(OrganisationId organisation, long id, int unused, long now) {
    Allocation allocation = allocations.get(organisation);
    if (allocation == null) {
      return;
    }
    int returned = Math.min(unused, allocation.loans.tokens(id));
    if (allocation.loans.confirm(id) && allocation.share > 0) {
      allocation.applyCap(now);
      allocation.bucket.add(returned, now);
    }
  }

  /** Ends the loans whose tokens the borrower can no longer accept. Call it regularly. */
  public void expireLoans(long now) {
    for (Allocation allocation : allocations.values()) {
      if (allocation.loans.expire(now, LOAN_LIFETIME.toNanos()) && allocation.share > 0) {
        allocation.applyCap(now);
      }
    }
  }

  /** Adds unused borrowed tokens to the bucket; those above the cap are dropped. */
  public void addTokens(OrganisationId organisation, int tokens, long now) {
    Allocation allocation = allocations.get(organisation);
    if (allocation != null && allocation.share > 0) {
      allocation.bucket.add(tokens, now);
    }
  }

  /** Returns whether this VM has a share of an organisation's rate. */
  public boolean hasShare(OrganisationId organisation) {
    Allocation allocation = allocations.get(organisation);
    return allocation != null && allocation.share > 0;
  }

  /** Returns the tokens that are available to an organisation on this VM. */
  public double tokens(OrganisationId organisation, long now) {
    Allocation allocation = allocations.get(organisation);
    return allocation == null ? 0 : allocation.bucket.tokens(now);
  }
}
