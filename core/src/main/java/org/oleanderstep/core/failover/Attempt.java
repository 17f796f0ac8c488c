package org.oleanderstep.core.failover;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/** One claim of a term: the promises collected for it and the member chosen by them. */
final class Attempt {

  final long term;
  final long startedNanos;
  private final int majority;
  private final int groupSize;
  private final Map<MemberId, MemberStatus> promises = new HashMap<>();
  private final Set<MemberId> stopped = new HashSet<>();
  private final Set<MemberId> refusals = new HashSet<>();
  private final Map<MemberId, Long> sentNanos = new HashMap<>();
  private Optional<MemberId> chosen = Optional.empty();

  Attempt(long term, long startedNanos, int groupSize) {
    this.term = term;
    this.startedNanos = startedNanos;
    this.groupSize = groupSize;
    this.majority = groupSize / 2 + 1;
  }

  void onPromise(MemberStatus status) {
    stopped.add(status.member());
    // A member that rebuilds its data may have lost entries that it acknowledged before, so its
    // promise does not count towards the majority that must contain every acknowledged entry.
    if (status.role() != MemberRole.JOINING) {
      promises.put(status.member(), status);
      refusals.remove(status.member());
    }
  }

  void onRefusal(MemberId member) {
    if (!promises.containsKey(member)) {
      refusals.add(member);
    }
  }

  /** Returns whether the member accepts nothing of lower terms, even if its promise is no vote. */
  boolean hasStopped(MemberId member) {
    return stopped.contains(member);
  }

  boolean hasPromiseOf(MemberId member) {
    return promises.containsKey(member);
  }

  boolean hasRefusalOf(MemberId member) {
    return refusals.contains(member);
  }

  boolean hasMajority() {
    return promises.size() >= majority;
  }

  boolean cannotWin() {
    return groupSize - refusals.size() < majority;
  }

  /** Notes that a message was sent, and returns whether the last one is old enough to repeat it. */
  boolean maySend(MemberId member, long nowNanos, long resendAfterNanos) {
    Long last = sentNanos.get(member);
    if (last != null && nowNanos - last < resendAfterNanos) {
      return false;
    }
    sentNanos.put(member, nowNanos);
    return true;
  }

  void choose(MemberId member) {
    chosen = Optional.of(member);
    sentNanos.clear();
  }

  Optional<MemberId> chosen() {
    return chosen;
  }

  /**
   * Returns whether the member holds every acknowledged entry.
   *
   * <p>An acknowledged entry is held by a majority, so it suffices that the member is as advanced
   * as some majority of the promises. Promises beyond a majority thus allow to pass over a more
   * advanced member, whose last entries were never acknowledged.
   */
  boolean mayBecomePrimary(MemberId member) {
    MemberStatus promise = promises.get(member);
    return promise != null
        && promises.values().stream()
                .filter(other -> other.received().compareTo(promise.received()) <= 0)
                .count()
            >= majority;
  }

  /**
   * Returns the member to promote; there must be a majority of promises.
   *
   * @param preferred member to take if it holds every acknowledged entry
   * @param avoided member to take only if no other holds every acknowledged entry
   */
  MemberId best(Optional<MemberId> preferred, Optional<MemberId> avoided) {
    Comparator<MemberId> order =
        Comparator.<MemberId, Boolean>comparing(member -> !preferred.equals(Optional.of(member)))
            .thenComparing(member -> avoided.equals(Optional.of(member)))
            .thenComparing(member -> promises.get(member).leaving())
            .thenComparing(
                member -> promises.get(member).received(), Comparator.<LogPosition>reverseOrder())
            .thenComparing(MemberId::name);
    return promises.keySet().stream().filter(this::mayBecomePrimary).min(order).orElseThrow();
  }
}
