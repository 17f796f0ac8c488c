package org.oleanderstep.core.balancing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Excludes members of a service from reads for a while that fail many more of their statements than
 * the other members do.
 *
 * <pre>{@code
 * ejection.onOutcome(member, failed, now);
 * ejection.update(members, now).forEach(this::log);
 * if (ejection.isTrialDue(member, now)) {
 *   ejection.startTrial(member, now);
 *   read(member);
 * }
 * }</pre>
 *
 * <p>After its time, an ejected member gets a few trial reads, one at a time. It returns if all of
 * them succeed, and is ejected for a longer time if one fails. If the other members fail as much,
 * none is ejected: the statements, or all members, are the cause.
 *
 * <p>Not thread-safe. Times are in nanoseconds of a monotonic clock.
 *
 * @param <M> the names of members
 */
public final class OutlierEjection<M> {

  /**
   * The present state of a member.
   *
   * @param usable whether it may serve reads, apart from an ejection
   * @param ejectable whether it may be ejected; a primary may not
   */
  public record Observed<M>(M member, boolean usable, boolean ejectable) {}

  /**
   * A member was ejected or has returned.
   *
   * @param time the time of the ejection; zero if the member has returned
   */
  public record Change<M>(M member, boolean ejected, Duration time) {}

  /** The time of the first ejection: short, because a VM judges by few statements. */
  public static final Duration FIRST_TIME = Duration.ofSeconds(5);

  /** The longest ejection. */
  public static final Duration MAX_TIME = Duration.ofSeconds(60);

  /** The number of trial reads that must succeed. */
  public static final int TRIALS = 3;

  private static final Duration MEMORY = Duration.ofSeconds(20);
  private static final double MAX_WEIGHT = 20;

  /** With this share of failures, one read in 25 fails at two members in turn. */
  private static final double MIN_EXCESS_SHARE = 0.2;

  private static final double MIN_FAILURES = 2.5;
  private static final Duration TRIAL_INTERVAL = Duration.ofMillis(250);

  /** A trial read may end without an outcome, for example if its caller leaves. */
  private static final Duration MAX_TRIAL_TIME = Duration.ofSeconds(2);

  private static final Duration FORGIVENESS_TIME = Duration.ofSeconds(60);
  private static final int MEMBERS_PER_EJECTION = 3;

  private static final class State {
    private final DecayingMean failures;
    private boolean ejected;
    private long ejectedUntil;
    private int ejections;
    private long behavesSince;
    private int trialsLeft;
    private boolean trialRuns;
    private long trialStartedAt;

    private State(long now) {
      failures = new DecayingMean(MEMORY, MAX_WEIGHT, now);
    }

    private Duration eject(long now) {
      ejected = true;
      ejections++;
      Duration time = FIRST_TIME.multipliedBy(ejections);
      time = time.compareTo(MAX_TIME) < 0 ? time : MAX_TIME;
      ejectedUntil = now + time.toNanos();
      trialsLeft = TRIALS;
      trialRuns = false;
      failures.clear();
      return time;
    }

    private void comeBack(long now) {
      ejected = false;
      behavesSince = now;
      failures.clear();
    }

    private boolean isOnTrial(long now) {
      return ejected && now - ejectedUntil >= 0;
    }

    private void forgive(long now) {
      if (!ejected && ejections > 0 && now - behavesSince > FORGIVENESS_TIME.toNanos()) {
        ejections--;
        behavesSince = now;
      }
    }
  }

  private final Map<M, State> states = new HashMap<>();
  private final List<Change<M>> changes = new ArrayList<>();

  private State state(M member, long now) {
    return states.computeIfAbsent(member, m -> new State(now));
  }

  /** Records the outcome of a statement. */
  public void onOutcome(M member, boolean failed, long now) {
    State state = state(member, now);
    if (!state.ejected) {
      state.failures.record(failed ? 1 : 0, now);
    } else if (state.trialRuns) {
      onTrialOutcome(member, state, failed, now);
    }
  }

  private void onTrialOutcome(M member, State state, boolean failed, long now) {
    state.trialRuns = false;
    if (failed) {
      changes.add(new Change<>(member, true, state.eject(now)));
      return;
    }
    state.trialsLeft--;
    if (state.trialsLeft == 0) {
      comeBack(member, state, now);
    }
  }

  private void comeBack(M member, State state, long now) {
    state.comeBack(now);
    changes.add(new Change<>(member, false, Duration.ZERO));
  }

  /** Forgets a member, which was replaced by another process of the same name. */
  public void forget(M member) {
    states.remove(member);
  }

  /** Forgets the failures of a member, for example because it did not respond at all for a time. */
  public void forgetFailures(M member, long now) {
    state(member, now).failures.clear();
  }

  /** Returns whether a member is ejected or on trial. */
  public boolean isEjected(M member) {
    State state = states.get(member);
    return state != null && state.ejected;
  }

  /** Returns whether a trial read of a member is due. */
  public boolean isTrialDue(M member, long now) {
    State state = states.get(member);
    if (state == null || !state.isOnTrial(now)) {
      return false;
    }
    Duration pause = state.trialRuns ? MAX_TRIAL_TIME : TRIAL_INTERVAL;
    return now - state.trialStartedAt >= pause.toNanos();
  }

  /** Records the start of a trial read. */
  public void startTrial(M member, long now) {
    State state = state(member, now);
    state.trialRuns = state.isOnTrial(now);
    state.trialStartedAt = now;
  }

  /**
   * Ejects members, and lets those return that may not stay ejected.
   *
   * @param members all members of the service; others are forgotten
   * @return the changes since the last call, in order
   */
  public List<Change<M>> update(Collection<Observed<M>> members, long now) {
    states.keySet().retainAll(Set.copyOf(members.stream().map(Observed::member).toList()));
    states.values().forEach(state -> state.forgive(now));
    for (Observed<M> observed : members) {
      if (isEjected(observed.member()) && !observed.ejectable()) {
        comeBack(observed.member(), state(observed.member(), now), now);
      } else if (mayEject(observed, members) && isOutlier(observed.member(), now)) {
        changes.add(
            new Change<>(observed.member(), true, state(observed.member(), now).eject(now)));
      }
    }
    List<Change<M>> result = List.copyOf(changes);
    changes.clear();
    return result;
  }

  private boolean mayEject(Observed<M> observed, Collection<Observed<M>> members) {
    long ejected = members.stream().filter(m -> isEjected(m.member())).count();
    boolean othersUsable =
        members.stream()
            .anyMatch(
                m -> !m.member().equals(observed.member()) && m.usable() && !isEjected(m.member()));
    return observed.usable()
        && observed.ejectable()
        && !isEjected(observed.member())
        && othersUsable
        && ejected < members.size() / MEMBERS_PER_EJECTION;
  }

  private boolean isOutlier(M member, long now) {
    State state = states.get(member);
    if (state == null || state.failures.sum(now) < MIN_FAILURES) {
      return false;
    }
    double share = state.failures.sum(now) / state.failures.weight(now);
    return share - shareOfOthers(member, now) >= MIN_EXCESS_SHARE;
  }

  private double shareOfOthers(M member, long now) {
    double failures = 0;
    double weight = 0;
    for (Map.Entry<M, State> other : states.entrySet()) {
      if (!other.getKey().equals(member)) {
        failures += other.getValue().failures.sum(now);
        weight += other.getValue().failures.weight(now);
      }
    }
    return weight == 0 ? 0 : failures / weight;
  }
}
