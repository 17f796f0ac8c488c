package org.oleanderstep.core.scheduling;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Why a waiting request is refused, and when its caller should come back.
 *
 * @param reason the reason
 * @param estimate the wait that was expected; zero if none was
 * @param retryAfter the delay that the caller is asked for
 */
public record QueueRefusal(Reason reason, Duration estimate, Duration retryAfter) {

  /** Why a request is refused. */
  public enum Reason {
    /** It could not be served in time when it arrived. */
    ON_ARRIVAL("no connection will become free in time"),
    /** It could have been served in time, but the members have become slower. */
    ESTIMATE_ROSE("no connection will become free in time any more"),
    /** The queue is full, and other requests are more urgent or of organisations with less load. */
    SHED("too many requests wait that are more urgent or of other organisations"),
    /** No member can serve it, and none will in time. */
    NO_MEMBER("no primary is known"),
    /** It has waited for as long as it may. */
    EXPIRED("no connection became free in time");

    private final String text;

    Reason(String text) {
      this.text = text;
    }
  }

  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(20);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

  /**
   * Creates a refusal that spreads the return of callers over twice the time after which a new
   * request is likely to be served.
   */
  static QueueRefusal of(
      Reason reason, long estimateNanos, long excessNanos, RandomGenerator random) {
    long delay =
        Math.max(MIN_RETRY_DELAY.toNanos(), Math.min(MAX_RETRY_DELAY.toNanos(), excessNanos));
    return new QueueRefusal(
        reason,
        Duration.ofNanos(estimateNanos),
        Duration.ofNanos(delay + random.nextLong(delay + 1)));
  }

  /** Returns the text for the caller. */
  public String text() {
    return reason.text + "; retry in " + retryAfter.toMillis() + " ms";
  }
}
