package org.oleanderstep.core.failover;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.oleanderstep.core.model.MemberId;
import org.oleanderstep.core.position.LogPosition;

/**
 * An attempt of this proxy to give a new term a primary: the promises collected from the members,
 * and the member selected for promotion.
 *
 * <p>Not thread-safe; call only from the control thread.
 */
final class FailoverAttempt {

  final long term;
  final long startedNanos;
  private final int majority;
  private final int groupSize;
  private final Map<MemberId, MemberStatus> promises = new HashMap<>();
  private final Set<MemberId> fenced = new HashSet<>();
  private final Set<MemberId> refusals = new HashSet<>();
  private final Map<MemberId, Long> lastSentNanos = new HashMap<>();
  private Optional<MemberId> successor = Optional.empty();

  FailoverAttempt(long term, long startedNanos, int groupSize) {
    this.term = term;
    this.startedNanos = startedNanos;
    this.groupSize = groupSize;
    this.majority = groupSize / 2 + 1;
  }

  void onPromise(MemberStatus status) {
    fenced.add(status.member());
    // A member that rebuilds its data may have lost entries that it acknowledged before, so its
    // promise does not count towards the majority that must hold every acknowledged entry.
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

  /**
   * Returns whether the member rejects all messages of lower terms.
   *
   * <p>This holds also for a member that rebuilds its data, whose promise does not count.
   */
  boolean isFenced(MemberId member) {
    return fenced.contains(member);
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

  boolean cannotReachMajority() {
    return groupSize - refusals.size() < majority;
  }

  /**
   * Returns whether a message to the member is due, and if so records it as sent now.
   *
   * @param resendAfterNanos minimum time between two messages to the same member
   */
  boolean recordSendIfDue(MemberId member, long nowNanos, long resendAfterNanos) {
    Long last = lastSentNanos.get(member);
    if (last != null && nowNanos - last < resendAfterNanos) {
      return false;
    }
    lastSentNanos.put(member, nowNanos);
    return true;
  }

  void setSuccessor(MemberId member) {
    successor = Optional.of(member);
    lastSentNanos.clear();
  }

  Optional<MemberId> successor() {
    return successor;
  }

  /**
   * Returns whether the member holds every acknowledged entry.
   *
   * <p>An acknowledged entry is held by a majority, so a member qualifies if it has received at
   * least as much of the log as some majority of the members that promised. With promises beyond a
   * majority, a more advanced member can therefore be passed over: its last entries were never
   * acknowledged.
   */
  boolean holdsAllAcknowledgedEntries(MemberId member) {
    MemberStatus promise = promises.get(member);
    return promise != null
        && promises.values().stream()
                .filter(other -> other.received().compareTo(promise.received()) <= 0)
                .count()
            >= majority;
  }

  /**
   * Returns the member to promote; requires promises of a majority.
   *
   * @param preferred member to select if it holds every acknowledged entry
   * @param avoided member to select only if no other holds every acknowledged entry
   */
  MemberId selectSuccessor(Optional<MemberId> preferred, Optional<MemberId> avoided) {
    Comparator<MemberId> order =
        Comparator.<MemberId, Boolean>comparing(member -> !preferred.equals(Optional.of(member)))
            .thenComparing(member -> avoided.equals(Optional.of(member)))
            .thenComparing(member -> promises.get(member).leaving())
            .thenComparing(
                member -> promises.get(member).received(), Comparator.<LogPosition>reverseOrder())
            .thenComparing(MemberId::name);
    return promises.keySet().stream()
        .filter(this::holdsAllAcknowledgedEntries)
        .min(order)
        .orElseThrow();
  }
}
