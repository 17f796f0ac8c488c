package org.oleanderstep.core.admission;

import java.time.Duration;
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
 * Decides which VM to ask for tokens of an organisation that has none left here.
 *
 * <pre>{@code
 * borrower.ask(organisation, missing, now).ifPresent(link::send);
 * // on the reply of the lender:
 * borrower.onReply(reply, now).ifPresent(credit -> ...);
 * }</pre>
 *
 * <p>Answers a load that is uneven for a shorter time than claims take to follow: bunches, callers
 * that have just moved, and rates too small to be split over all VMs. The lender deducts first, and
 * a reply that comes late is discarded, so that no token exists twice. Belongs to one thread.
 */
public final class TokenBorrower {

  /** A reply that takes longer is discarded. */
  public static final Duration REPLY_TIMEOUT = Duration.ofMillis(250);

  /** A VM that takes longer is not waited for when deciding whether to ask another one. */
  private static final Duration LOST = Duration.ofMillis(40);

  /** Time for which a VM that did not answer is left out. */
  private static final Duration AVOIDANCE = Duration.ofSeconds(1);

  /**
   * A request for tokens.
   *
   * @param id never used twice, also by other processes
   */
  public record Ask(long id, VmId lender, OrganisationId organisation, int tokens) {

    private boolean isFor(OrganisationId other) {
      return organisation.equals(other);
    }
  }

  /**
   * The answer of a lender.
   *
   * @param tokens what it has deducted for the borrower
   * @param remaining what it has left
   */
  public record Reply(long id, int tokens, double remaining) {}

  /** Tokens that were lent in time; the lender waits for a confirmation. */
  public record Credit(Ask ask, int tokens) {}

  private record Pending(Ask ask, ClockReading askedAt) {}

  private final Map<Long, Pending> pending = new HashMap<>();
  private final Map<OrganisationId, PeerEstimates> estimates = new HashMap<>();
  private Map<OrganisationId, RateShares.Limit> limits = Map.of();
  private Map<OrganisationId, Map<VmId, Double>> parts = Map.of();
  private long nextId;

  /** Creates a borrower that knows no lender; the first id is random, so that none comes twice. */
  public TokenBorrower(long firstId) {
    nextId = firstId;
  }

  /** Takes over the limits, and the parts of the other VMs that can be asked. */
  public void update(
      Map<OrganisationId, RateShares.Limit> newLimits,
      Map<OrganisationId, Map<VmId, Double>> newParts) {
    limits = Map.copyOf(newLimits);
    parts = Map.copyOf(newParts);
    estimates.keySet().retainAll(limits.keySet());
  }

  /** Returns a request to the VM that probably has most tokens, if one probably has any. */
  public Optional<Ask> ask(OrganisationId organisation, int missing, ClockReading now) {
    long nanos = now.monotonicNanos();
    PeerEstimates known = estimates.computeIfAbsent(organisation, o -> new PeerEstimates());
    Optional<Offer> best =
        parts.getOrDefault(organisation, Map.of()).keySet().stream()
            .filter(vm -> !known.isAvoided(vm, AVOIDANCE.toNanos(), nanos))
            .map(vm -> new Offer(vm, estimate(known, organisation, vm, now)))
            .max(Comparator.comparingDouble(Offer::tokens))
            .filter(offer -> offer.tokens >= 1);
    return best.map(offer -> send(known, organisation, offer, missing, now));
  }

  private record Offer(VmId vm, double tokens) {}

  private double estimate(
      PeerEstimates known, OrganisationId organisation, VmId vm, ClockReading now) {
    RateShares.Limit limit = limits.get(organisation);
    if (limit == null) {
      return 0;
    }
    double part = parts.get(organisation).getOrDefault(vm, 0.0);
    double held =
        known.estimate(
            vm, part * limit.ratePerSecond(), part * limit.burst(), now.monotonicNanos());
    return held - underway(now, ask -> ask.isFor(organisation) && ask.lender.equals(vm));
  }

  private Ask send(
      PeerEstimates known,
      OrganisationId organisation,
      Offer offer,
      int missing,
      ClockReading now) {
    int tokens = (int) Math.min(missing, Math.floor(offer.tokens));
    Ask ask = new Ask(nextId++, offer.vm, organisation, tokens);
    known.noteAsked(offer.vm, now.monotonicNanos());
    pending.put(ask.id, new Pending(ask, now));
    return ask;
  }

  /** Returns the tokens of an organisation that were asked for and will probably come. */
  public int underway(OrganisationId organisation, ClockReading now) {
    return underway(now, ask -> ask.isFor(organisation));
  }

  private int underway(ClockReading now, Predicate<Ask> filter) {
    return pending.values().stream()
        .filter(each -> filter.test(each.ask))
        .filter(each -> each.askedAt.ageAt(now).compareTo(LOST) < 0)
        .mapToInt(each -> each.ask.tokens)
        .sum();
  }

  /** Takes the answer of a lender; empty if it was not asked for or came too late. */
  public Optional<Credit> onReply(Reply reply, ClockReading now) {
    Pending asked = pending.remove(reply.id);
    if (asked == null || asked.askedAt.ageAt(now).compareTo(REPLY_TIMEOUT) > 0) {
      return Optional.empty();
    }
    PeerEstimates known = estimates.get(asked.ask.organisation);
    if (known != null) {
      known.noteAnswered(asked.ask.lender, reply.remaining, now.monotonicNanos());
    }
    return Optional.of(new Credit(asked.ask, reply.tokens));
  }

  /** Notes which VMs do not answer; returns the organisations whose tokens will not come. */
  public Set<OrganisationId> tick(ClockReading now) {
    Set<OrganisationId> affected = new HashSet<>();
    for (Pending each : List.copyOf(pending.values())) {
      Duration age = each.askedAt.ageAt(now);
      if (age.compareTo(LOST) >= 0) {
        PeerEstimates known = estimates.get(each.ask.organisation);
        if (known != null && known.isLost(each.ask.lender, LOST.toNanos(), now.monotonicNanos())) {
          known.noteSilent(each.ask.lender, now.monotonicNanos());
        }
        affected.add(each.ask.organisation);
      }
      if (age.compareTo(REPLY_TIMEOUT) > 0) {
        pending.remove(each.ask.id);
      }
    }
    return affected;
  }
}
