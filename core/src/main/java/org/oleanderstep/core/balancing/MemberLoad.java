package org.oleanderstep.core.balancing;

import java.time.Duration;

/**
 * What one process has measured of a member, and the time that it expects a read to take there.
 *
 * <pre>{@code
 * load.onSuccess(references.record(kind, latencyNanos, now), now);
 * double millis = load.expectedMillis(references.millis(kind, 10), situation, now);
 * }</pre>
 *
 * <p>A process may see only a few statements a second. Each measurement therefore lasts for seconds
 * at most, and an assumption takes its place as it ages: a member that was slow is tried again.
 *
 * <p>Not thread-safe. Times are in nanoseconds of a monotonic clock.
 */
public final class MemberLoad {

  /**
   * What else affects a read that starts now.
   *
   * @param assumedSlowness ratio to the reference latency that is assumed without measurements
   * @param longestWait ratio of the age of the oldest unanswered statement to its reference; 0 if
   *     there is none
   * @param inFlight own statements in flight at the member
   * @param slots statements that the member runs at the same time
   */
  public record Situation(double assumedSlowness, double longestWait, int inFlight, int slots) {

    /** Checks that the slots are positive. */
    public Situation {
      if (slots < 1) {
        throw new IllegalArgumentException("slots must be positive: " + slots);
      }
    }
  }

  private static final Duration LATENCY_MEMORY = Duration.ofSeconds(3);

  /**
   * The memory of a member that is still slow each time it is tried again. With a shorter one, the
   * trials of a large fleet would be a large part of a service's reads.
   */
  private static final Duration MAX_LATENCY_MEMORY = Duration.ofSeconds(9);

  private static final Duration TRIAL_PAUSE = Duration.ofSeconds(1);

  /** Two slow replies in turn must outweigh all fast ones before. */
  private static final double MAX_LATENCY_WEIGHT = 6;

  private static final double ASSUMPTION_WEIGHT = 1;
  private static final Duration OUTCOME_MEMORY = Duration.ofSeconds(5);
  private static final double MAX_OUTCOME_WEIGHT = 12;

  /** A single failure after a pause must not exclude a member. */
  private static final double ASSUMED_SUCCESSES = 3;

  /** A single extreme latency must not determine the mean for long. */
  private static final double MAX_RATIO = 30;

  /** Replies that take this many times their reference are usual. */
  private static final double USUAL_WAIT = 3;

  /** A failed read is repeated, and a failed transaction has to be repeated by the caller. */
  private static final double FAILURE_MILLIS = 100;

  /** A refused statement goes to another member after a pause. */
  private static final double REFUSAL_MILLIS = 30;

  private static final double MAX_SHARE = 0.9;
  private static final Duration SLOW_START = Duration.ofSeconds(5);
  private static final double SLOW_START_FACTOR = 4;

  private final DecayingMean slowness;
  private final DecayingMean failures;
  private final DecayingMean refusals;
  private long slowStartUntil;
  private Duration memory = LATENCY_MEMORY;
  private long latencyAt;

  /** Creates the load of a member that nothing is known of. */
  public MemberLoad(long now) {
    slowness = new DecayingMean(LATENCY_MEMORY, MAX_LATENCY_WEIGHT, now);
    failures = new DecayingMean(OUTCOME_MEMORY, MAX_OUTCOME_WEIGHT, now);
    refusals = new DecayingMean(OUTCOME_MEMORY, MAX_OUTCOME_WEIGHT, now);
    slowStartUntil = now;
    latencyAt = now;
  }

  /** Makes the member seem slower for a while, so that it gets its part of the load gradually. */
  public void startSlowly(long now) {
    slowStartUntil = now + SLOW_START.toNanos();
  }

  /**
   * Records a statement that was served.
   *
   * @param ratio its latency by the reference latency
   */
  public void onSuccess(double ratio, long now) {
    recordLatency(ratio, now);
    failures.record(0, now);
    refusals.record(0, now);
  }

  private void recordLatency(double ratio, long now) {
    if (ratio < USUAL_WAIT) {
      memory = LATENCY_MEMORY;
    } else if (now - latencyAt > TRIAL_PAUSE.toNanos()) {
      Duration doubled = memory.multipliedBy(2);
      memory = doubled.compareTo(MAX_LATENCY_MEMORY) < 0 ? doubled : MAX_LATENCY_MEMORY;
    }
    latencyAt = now;
    slowness.updateTimeConstant(memory, now);
    slowness.record(Math.min(MAX_RATIO, ratio), now);
  }

  /** Records a statement that was refused for lack of capacity. */
  public void onRefusal(long now) {
    refusals.record(1, now);
  }

  /** Records a statement that failed; the time that this took says nothing. */
  public void onFailure(long now) {
    failures.record(1, now);
  }

  /**
   * Records a statement that got no reply.
   *
   * @param ratio the time until it was given up by the reference latency
   */
  public void onNoReply(double ratio, long now) {
    recordLatency(ratio, now);
    failures.record(1, now);
  }

  /** Returns whether a recent latency is known. */
  public boolean isMeasured(long now) {
    return slowness.weight(now) >= ASSUMPTION_WEIGHT;
  }

  /** Returns the measured ratio to the reference latency, or the assumed one. */
  public double slowness(double assumed, long now) {
    return slowness.meanWith(assumed, ASSUMPTION_WEIGHT, now);
  }

  /** Returns the ratio to the reference latency, including statements that are not answered yet. */
  public double presentSlowness(Situation situation, long now) {
    return Math.max(
        slowness(situation.assumedSlowness(), now), situation.longestWait() / USUAL_WAIT);
  }

  /**
   * Returns the time that a statement is expected to take, including what follows if it fails.
   *
   * <p>The statements of other processes show in the measured latency. Own ones are counted, since
   * several may start before the first is answered.
   *
   * @param referenceMillis the reference latency of the statement
   */
  public double expectedMillis(double referenceMillis, Situation situation, long now) {
    double queue = 1 + (double) situation.inFlight() / situation.slots();
    double served =
        referenceMillis * presentSlowness(situation, now) * queue * slowStartFactor(now);
    return served
        + repetitions(failures, now) * FAILURE_MILLIS
        + repetitions(refusals, now) * REFUSAL_MILLIS;
  }

  /** Returns how often a statement has to be repeated on average. */
  private static double repetitions(DecayingMean unsuccessful, long now) {
    double share = Math.min(MAX_SHARE, unsuccessful.meanWith(0, ASSUMED_SUCCESSES, now));
    return share / (1 - share);
  }

  private double slowStartFactor(long now) {
    double left = Math.max(0, slowStartUntil - now) / (double) SLOW_START.toNanos();
    return 1 + (SLOW_START_FACTOR - 1) * left;
  }
}
