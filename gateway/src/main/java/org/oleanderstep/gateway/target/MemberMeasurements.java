package org.oleanderstep.gateway.target;

import java.time.Duration;
import org.oleanderstep.core.balancing.MemberLoad;
import org.oleanderstep.core.balancing.ReferenceLatencies;
import org.oleanderstep.core.scheduling.ConcurrencyLimit;
import org.oleanderstep.gateway.session.Answer;
import org.oleanderstep.gateway.session.FailureCode;

/**
 * What this VM has measured of one member, from the statements that it sent there.
 *
 * <p>Not thread-safe; call only from the traffic thread. Times are in nanoseconds of the monotonic
 * clock.
 */
final class MemberMeasurements {

  /** Receives the outcome of each statement. */
  @FunctionalInterface
  interface OutcomeListener {
    void onOutcome(boolean failed, long now);
  }

  /**
   * A lost statement counts as a failure of the member if it has waited this long: it may also have
   * been given up because its caller has left.
   */
  private static final Duration MIN_WAIT_OF_FAILURE = Duration.ofMillis(250);

  // The limit compares latencies with each other only, so that any value may stand for a ratio of 1
  // that is not below the shortest interval between two decreases.
  private static final double NANOS_OF_REFERENCE = Duration.ofMillis(10).toNanos();

  private final ReferenceLatencies<WorkClass.Kind> references;
  private final OutcomeListener listener;
  private final MemberLoad load;
  private final ConcurrencyLimit limit;

  /**
   * Creates measurements without samples.
   *
   * @param references the reference latencies of the service, which all its members share
   * @param connections connections that this VM may have to the member
   */
  MemberMeasurements(
      ReferenceLatencies<WorkClass.Kind> references,
      int slots,
      int connections,
      OutcomeListener listener,
      long now) {
    this.references = references;
    this.listener = listener;
    load = new MemberLoad(now);
    limit = new ConcurrencyLimit(Math.max(1, slots));
    updateConnections(slots, connections);
  }

  /** Replaces the number of connections that this VM may have to the member. */
  void updateConnections(int slots, int connections) {
    int most = Math.max(1, slots) * ConcurrencyLimit.STATEMENTS_PER_SLOT;
    limit.updateMaxLimit(Math.max(1, Math.min(most, connections)));
  }

  MemberLoad load() {
    return load;
  }

  int inFlight() {
    return limit.inFlight();
  }

  /**
   * Returns whether no further statement should start.
   *
   * @param overdue statements in flight that may never be answered; they keep nobody waiting
   */
  boolean isFull(int overdue) {
    return limit.inFlight() - overdue >= limit.limit();
  }

  /** Returns the ratio of the age of an unanswered statement to the reference of its kind. */
  double ratio(WorkClass.Kind kind, long ageNanos) {
    return references.ratio(kind, ageNanos);
  }

  /** Records that a statement was sent. */
  void onSent() {
    limit.start();
  }

  /** Records the reply to a statement. */
  void onReply(WorkClass.Kind kind, Answer answer, long latencyNanos, long now) {
    if (answer instanceof Answer.Failure failure) {
      onFailure(failure.code(), references.ratio(kind, latencyNanos), now);
      return;
    }
    double ratio = references.record(kind, latencyNanos, now);
    end(ratio, false, now);
    load.onSuccess(ratio, now);
    listener.onOutcome(false, now);
  }

  private void onFailure(FailureCode code, double ratio, long now) {
    endFailed(code, ratio, now);
    switch (code) {
      case OVERLOADED -> load.onRefusal(now);
      case FAILED, TIMEOUT, UNKNOWN_OUTCOME -> {
        load.onFailure(now);
        listener.onOutcome(true, now);
      }
      default -> {
        // The statement, the session or the position is the cause.
      }
    }
  }

  // A failure that comes quickly would pass for an idle member, and lower what counts as usual.
  private void endFailed(FailureCode code, double ratio, long now) {
    if (code == FailureCode.OVERLOADED || ratio >= 1) {
      end(Math.max(1, ratio), code == FailureCode.OVERLOADED, now);
    } else {
      limit.endUnmeasured();
    }
  }

  private void end(double ratio, boolean dropped, long now) {
    limit.end((long) (ratio * NANOS_OF_REFERENCE), dropped, now);
  }

  /**
   * Records that a statement ended without a reply.
   *
   * @param byMember whether the member or the network ended its connection
   */
  void onLost(WorkClass.Kind kind, long ageNanos, boolean byMember, long now) {
    boolean failed = byMember || ageNanos >= MIN_WAIT_OF_FAILURE.toNanos();
    double ratio = references.ratio(kind, ageNanos);
    if (failed) {
      end(Math.max(1, ratio), true, now);
      load.onNoReply(ratio, now);
      listener.onOutcome(true, now);
    } else {
      limit.endUnmeasured();
    }
  }
}
