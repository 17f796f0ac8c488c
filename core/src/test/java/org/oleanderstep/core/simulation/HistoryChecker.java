package org.oleanderstep.core.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oleanderstep.core.simulation.History.Entry;
import org.oleanderstep.core.simulation.History.Event;

/** Finds what a history of one group violates. */
final class HistoryChecker {

  /** The promise of the design page that was broken. */
  enum Promise {
    /** No write is acknowledged by an old primary, and none is lost. */
    H2,
    /** A session reads its own writes. */
    H1,
    /** "Not run" is true. */
    H9,
    /** A request runs at most once. */
    H10,
    /** A group that can be repaired is repaired. */
    RECOVERY
  }

  /** One violation. */
  record Violation(Promise promise, String detail) {}

  private final int majority;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, Long> promisedTerms = new HashMap<>();
  private final Map<Long, String> primaries = new HashMap<>();
  private final Map<Long, Map<String, Long>> storedIndexes = new HashMap<>();
  private final Map<Entry, Long> acknowledged = new HashMap<>();
  private final List<Event> told = new ArrayList<>();
  private List<Entry> finalLog = List.of();

  private HistoryChecker(int groupSize) {
    majority = groupSize / 2 + 1;
  }

  static List<Violation> check(History history, int groupSize) {
    HistoryChecker checker = new HistoryChecker(groupSize);
    history.events().forEach(checker::take);
    checker.checkFinalLog();
    return checker.violations;
  }

  private void take(Event event) {
    if (event instanceof History.Promised promised) {
      promisedTerms.merge(promised.member(), promised.term(), Math::max);
    } else if (event instanceof History.Stored stored) {
      takeStored(stored);
    } else if (event instanceof History.Promoted promoted) {
      takePromotion(promoted);
    } else if (event instanceof History.Acknowledged ack) {
      takeAcknowledgement(ack);
    } else if (event instanceof History.AppliedEntryLost lost) {
      violations.add(new Violation(Promise.H2, "applied entry replaced: " + lost));
    } else if (event instanceof History.Read read) {
      takeRead(read);
    } else if (event instanceof History.Ended ended) {
      finalLog = ended.log();
      if (!ended.hasPrimary()) {
        violations.add(new Violation(Promise.RECOVERY, "no primary after all faults were healed"));
      }
    } else {
      told.add(event);
    }
  }

  private void takePromotion(History.Promoted promoted) {
    String other = primaries.putIfAbsent(promoted.term(), promoted.member());
    if (other != null && !other.equals(promoted.member())) {
      violations.add(
          new Violation(Promise.H2, "term " + promoted.term() + " has two primaries: " + other));
    }
    Set<Entry> log = new HashSet<>(promoted.log());
    acknowledged.forEach(
        (entry, term) -> {
          if (term < promoted.term() && !log.contains(entry)) {
            violations.add(
                new Violation(
                    Promise.H2,
                    promoted.member()
                        + " promoted in term "
                        + promoted.term()
                        + " lacks "
                        + entry));
          }
        });
  }

  private void takeStored(History.Stored stored) {
    if (promisedTerms.getOrDefault(stored.member(), 0L) <= stored.term()) {
      storedIndexes
          .computeIfAbsent(stored.term(), term -> new HashMap<>())
          .merge(stored.member(), stored.index(), Math::max);
    }
  }

  /**
   * The acknowledgement must rest on a majority, the primary among them, of which each member
   * stored the entry before it promised a higher term.
   */
  private void takeAcknowledgement(History.Acknowledged ack) {
    acknowledged.put(ack.entry(), ack.term());
    long index = ack.entry().position().index();
    long replicas =
        storedIndexes.getOrDefault(ack.term(), Map.of()).entrySet().stream()
            .filter(stored -> !stored.getKey().equals(ack.member()) && stored.getValue() >= index)
            .count();
    boolean oldPrimary = promisedTerms.getOrDefault(ack.member(), 0L) > ack.term();
    if (oldPrimary || replicas + 1 < majority) {
      violations.add(new Violation(Promise.H2, "acknowledged without a majority: " + ack));
    }
  }

  private void takeRead(History.Read read) {
    if (!read.seen().containsAll(read.mustSee())) {
      Set<String> missing = new HashSet<>(read.mustSee());
      missing.removeAll(read.seen());
      violations.add(
          new Violation(Promise.H1, "a read of " + read.session() + " missed " + missing));
    }
  }

  private void checkFinalLog() {
    Map<String, Integer> runs = new HashMap<>();
    Set<String> calls = new HashSet<>();
    finalLog.stream().filter(Entry::isWrite).forEach(e -> runs.merge(e.request(), 1, Integer::sum));
    finalLog.stream().filter(Entry::isWrite).forEach(e -> calls.add(e.call()));
    runs.forEach(
        (request, count) -> {
          if (count > 1) {
            violations.add(new Violation(Promise.H10, request + " ran " + count + " times"));
          }
        });
    acknowledged.keySet().stream()
        .filter(entry -> !finalLog.contains(entry))
        .forEach(entry -> violations.add(new Violation(Promise.H2, "lost at the end: " + entry)));
    told.forEach(event -> checkTold(event, runs.keySet(), calls));
  }

  private void checkTold(Event event, Set<String> requests, Set<String> calls) {
    if (event instanceof History.ToldNotRun notRun && calls.contains(notRun.call())) {
      violations.add(new Violation(Promise.H9, "told not run, but ran: " + notRun.call()));
    }
    if (event instanceof History.ToldAbandoned gone && requests.contains(gone.request())) {
      violations.add(new Violation(Promise.H9, "told abandoned, but ran: " + gone.request()));
    }
    if (event instanceof History.ToldServed served && !requests.contains(served.request())) {
      violations.add(new Violation(Promise.H2, "told served, but lost: " + served.request()));
    }
  }
}
