package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Token buckets of one VM, each with the part of its organisation's rate and burst that the VM has
 * claimed.
 *
 * <pre>{@code
 * shares.update(limits, claims.of(vm), now);
 * if (!shares.tryAcquire(organisation, now)) refuse();
 * }</pre>
 *
 * <p>The parts of all VMs add up to the limit, so that a partition can't raise the total. Belongs
 * to one thread. Times are nanoseconds of a monotonic clock.
 */
public final class RateShares {

  /**
   * The limit of an organisation.
   *
   * @param ratePerSecond operations a second over all VMs
   * @param burst operations above the rate that may come at once
   */
  public record Limit(double ratePerSecond, double burst) {

    /** Checks that no part is negative. */
    public Limit {
      if (ratePerSecond < 0 || burst < 0) {
        throw new IllegalArgumentException(
            "rate and burst must not be negative: " + ratePerSecond + ", " + burst);
      }
    }
  }

  // A smaller bucket could never hold the token of a single operation.
  private static final double LEAST_BURST = 1;
  private static final double LEAST_RATE = 1e-6;

  /** Operations that a process may admit at once after its start. */
  private static final double FIRST_TOKENS = 3;

  private static final Duration NEVER = Duration.ofNanos(Long.MAX_VALUE);

  /** Longer than a borrower accepts a reply, with room for clocks that run differently. */
  private static final Duration LOAN_TIME = TokenBorrower.REPLY_TIMEOUT.plusMillis(50);

  private record Share(
      Limit limit, double part, TokenBucket bucket, boolean everOpen, TokenLoans loans) {

    private void applyCap(long now) {
      bucket.setCap(Math.max(0, cap(limit, part) - loans.lent()), now);
    }
  }

  private static double cap(Limit limit, double part) {
    return Math.max(LEAST_BURST, limit.burst * part);
  }

  private final Map<OrganisationId, Share> shares = new HashMap<>();

  /**
   * Takes over new limits or a new part of them; a changed bucket keeps its tokens up to its cap.
   *
   * @param parts the part of each limit that this VM may use, from 0 to 1; none if absent
   */
  public void update(
      Map<OrganisationId, Limit> limits, Map<OrganisationId, Double> parts, long now) {
    shares.keySet().retainAll(limits.keySet());
    limits.forEach(
        (organisation, limit) ->
            shares.compute(
                organisation, (id, held) -> adapt(held, limit, parts.getOrDefault(id, 0.0), now)));
  }

  private static Share adapt(Share held, Limit limit, double part, long now) {
    if (held != null && held.limit.equals(limit) && held.part == part) {
      return held;
    }
    if (part <= 0) {
      boolean everOpen = held != null && held.everOpen;
      return new Share(limit, part, TokenBucket.closed(now), everOpen, loansOf(held));
    }
    double rate = Math.max(LEAST_RATE, limit.ratePerSecond * part);
    double cap = cap(limit, part);
    // A process that has just started doesn't know what its VM has used, and starts without a
    // full burst.
    boolean first = held == null || !held.everOpen;
    double tokens = first ? Math.min(cap, FIRST_TOKENS) : Math.min(cap, held.bucket.tokens(now));
    Share share =
        new Share(limit, part, TokenBucket.of(rate, cap, tokens, now), true, loansOf(held));
    share.applyCap(now);
    return share;
  }

  private static TokenLoans loansOf(Share held) {
    return held == null ? new TokenLoans() : held.loans;
  }

  /** Consumes a token of an organisation if there is one. */
  public boolean tryAcquire(OrganisationId organisation, long now) {
    Share share = shares.get(organisation);
    return share != null && share.bucket.tryTake(now);
  }

  /**
   * Returns how long it takes until an organisation has a number of tokens on this VM, if it uses
   * none meanwhile; centuries if it has no share.
   */
  public Duration timeUntil(OrganisationId organisation, int tokens, long now) {
    Share share = shares.get(organisation);
    return share == null ? NEVER : Duration.ofNanos(share.bucket.nanosUntil(tokens, now));
  }

  /** Deducts tokens for another VM; returns how many, which may be none. */
  public int lend(TokenBorrower.Ask ask, int reserved, long now) {
    Share share = shares.get(ask.organisation());
    if (share == null || share.part <= 0) {
      return 0;
    }
    int tokens = (int) Math.min(ask.tokens(), Math.floor(share.bucket.tokens(now)) - reserved);
    if (tokens <= 0 || share.loans.isKnown(ask.id()) || !share.bucket.tryTake(tokens, now)) {
      return 0;
    }
    share.loans.add(ask.id(), tokens, now);
    share.applyCap(now);
    return tokens;
  }

  /** Ends a loan whose tokens the borrower has in hand. */
  public void confirmLoan(OrganisationId organisation, long id, long now) {
    Share share = shares.get(organisation);
    if (share != null && share.loans.end(id) && share.part > 0) {
      share.applyCap(now);
    }
  }

  /** Ends the loans whose tokens nobody can use any more; to be called regularly. */
  public void endLoans(long now) {
    for (Share share : shares.values()) {
      if (share.loans.expire(now, LOAN_TIME.toNanos()) && share.part > 0) {
        share.applyCap(now);
      }
    }
  }

  /** Adds borrowed tokens that nobody here needs any more; what exceeds the cap is lost. */
  public void add(OrganisationId organisation, int tokens, long now) {
    Share share = shares.get(organisation);
    if (share != null && share.part > 0) {
      share.bucket.add(tokens, now);
    }
  }

  /** Returns the tokens that an organisation has on this VM. */
  public double tokens(OrganisationId organisation, long now) {
    Share share = shares.get(organisation);
    return share == null ? 0 : share.bucket.tokens(now);
  }
}
