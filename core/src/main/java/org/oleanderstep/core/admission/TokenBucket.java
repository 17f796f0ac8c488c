package org.oleanderstep.core.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A token bucket whose state is a single number: the time at which it was empty.
 *
 * <p>The bucket holds the tokens accrued since then, up to its cap. {@link #tryTake(long)} is
 * thread-safe; call everything else only from the control thread.
 *
 * <p>Times are nanoseconds of a monotonic clock, and may wrap; they are compared by difference.
 */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;
  // 73 years in nanoseconds; keeps sums of times far from overflow.
  private static final long MAX_SPAN = Long.MAX_VALUE / 4;
  private static final long SEALED = Long.MAX_VALUE;

  private final long tokenNanos;
  private final AtomicLong emptyAt;
  private volatile long capNanos;

  private TokenBucket(long tokenNanos, long capNanos, long emptyAt) {
    this.tokenNanos = tokenNanos;
    this.capNanos = capNanos;
    this.emptyAt = new AtomicLong(emptyAt);
  }

  /** Returns a bucket that never holds a token. */
  static TokenBucket closed(long now) {
    return new TokenBucket(MAX_SPAN, 0, now);
  }

  /**
   * Returns a bucket with initial tokens.
   *
   * @param ratePerSecond tokens accrued per second, above zero
   * @param cap maximum number of tokens held
   * @param tokens tokens held now; those above the cap are dropped
   */
  static TokenBucket of(double ratePerSecond, double cap, double tokens, long now) {
    // Rounded up, so that the bucket never accrues more than its rate.
    long tokenNanos =
        (long) Math.min((double) MAX_SPAN, Math.ceil(NANOS_PER_SECOND / ratePerSecond));
    long capNanos = span(cap, tokenNanos);
    long level = Math.min(capNanos, span(tokens, tokenNanos));
    return new TokenBucket(tokenNanos, capNanos, now - level);
  }

  private static long span(double tokens, long tokenNanos) {
    return (long) Math.min((double) MAX_SPAN, Math.floor(Math.max(0, tokens) * tokenNanos));
  }

  /** Takes one token if available. */
  boolean tryTake(long now) {
    while (true) {
      long held = emptyAt.get();
      if (held == SEALED) {
        return false;
      }
      long next = clamp(held, now) + tokenNanos;
      if (next - now > 0) {
        return false;
      }
      if (emptyAt.compareAndSet(held, next)) {
        return true;
      }
    }
  }

  private long clamp(long held, long now) {
    long earliest = now - capNanos;
    return held - earliest > 0 ? held : earliest;
  }

  /** Returns the tokens held. */
  double tokens(long now) {
    long held = emptyAt.get();
    return held == SEALED ? 0 : (double) Math.max(0, now - clamp(held, now)) / tokenNanos;
  }

  /** Returns the nanoseconds until the bucket holds a number of tokens, if none is taken. */
  long nanosUntil(int tokens, long now) {
    long held = emptyAt.get();
    if (held == SEALED || tokenNanos > MAX_SPAN / Math.max(1, tokens)) {
      return MAX_SPAN;
    }
    return Math.max(0, tokenNanos * tokens - (now - clamp(held, now)));
  }

  /** Takes exactly the given amount, or nothing if the bucket holds less. */
  boolean tryTake(double amount, long now) {
    long span = (long) Math.min((double) MAX_SPAN, Math.ceil(amount * tokenNanos));
    while (true) {
      long held = emptyAt.get();
      long next = clamp(held, now) + span;
      if (held == SEALED || next - now > 0) {
        return false;
      }
      if (emptyAt.compareAndSet(held, next)) {
        return true;
      }
    }
  }

  /** Adds tokens; those above the cap are dropped. */
  void add(double amount, long now) {
    long span = span(amount, tokenNanos);
    emptyAt.getAndUpdate(held -> held == SEALED ? SEALED : clamp(clamp(held, now) - span, now));
  }

  /** Changes the cap; tokens above it are dropped. */
  void setCap(double cap, long now) {
    // Tokens above the old cap must be dropped first: they would reappear when the cap rises.
    emptyAt.getAndUpdate(held -> held == SEALED ? SEALED : clamp(held, now));
    capNanos = span(cap, tokenNanos);
  }

  /** Closes the bucket permanently and returns the tokens it held. */
  double seal(long now) {
    long held = emptyAt.getAndSet(SEALED);
    return held == SEALED ? 0 : (double) Math.max(0, now - clamp(held, now)) / tokenNanos;
  }
}
