package org.oleanderstep.core.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oleanderstep.core.simulation.History.Entry;
import org.oleanderstep.core.simulation.History.Event;

/** Searches the history of one group for violated invariants. */
final class HistoryChecker {

  /** An invariant of the design that a history can violate, by its number. */
  enum Invariant {
    /** No write is acknowledged by an old primary, and no acknowledged write is lost. */
    H2,
    /** A session reads its own writes. */
    H1,
    /** A request that is reported as "not run" did not run. */
    H9,
    /** A request that must not be repeated runs at most once. */
    H10,
    /** The group has a primary again once all faults are healed. */
    RECOVERY
  }

  record Violation(Invariant invariant, String detail) {}

  private final int majority;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, Long> promisedTerms = new HashMap<>();
  private final Map<Long, String> primaries = new HashMap<>();
  private final Map<Long, Map<String, Long>> storedIndexes = new HashMap<>();
  private final Map<Entry, Long> acknowledgedTerms = new HashMap<>();
  private final List<Event> reportedOutcomes = new ArrayList<>();
  private List<Entry> finalLog = List.of();

  private HistoryChecker(int groupSize) {
    majority = groupSize / 2 + 1;
  }

  static List<Violation> check(History history, int groupSize) {
    HistoryChecker checker = new HistoryChecker(groupSize);
    history.events().forEach(checker::process);
    checker.checkFinalLog();
    return checker.violations;
  }

  private void process(Event event) {
    if (event instanceof History.Promised promised) {
      promisedTerms.merge(promised.member(), promised.term(), Math::max);
    } else if (event instanceof History.Stored stored) {
      recordStored(stored);
    } else if (event instanceof History.Promoted promoted) {
      checkPromotion(promoted);
    } else if (event instanceof History.Acknowledged acknowledgement) {
      checkAcknowledgement(acknowledgement);
    } else if (event instanceof History.AppliedEntryLost lost) {
      violations.add(new Violation(Invariant.H2, "applied entry replaced: " + lost));
    } else if (event instanceof History.Read read) {
      checkRead(read);
    } else if (event instanceof History.RunEnded ended) {
      finalLog = ended.log();
      if (!ended.hasPrimary()) {
        violations.add(
            new Violation(Invariant.RECOVERY, "no primary after all faults were healed"));
      }
    } else {
      reportedOutcomes.add(event);
    }
  }

  private void checkPromotion(History.Promoted promoted) {
    String other = primaries.putIfAbsent(promoted.term(), promoted.member());
    if (other != null && !other.equals(promoted.member())) {
      violations.add(
          new Violation(Invariant.H2, "term " + promoted.term() + " has two primaries: " + other));
    }
    Set<Entry> log = new HashSet<>(promoted.log());
    acknowledgedTerms.forEach(
        (entry, term) -> {
          if (term < promoted.term() && !log.contains(entry)) {
            violations.add(
                new Violation(
                    Invariant.H2,
                    promoted.member()
                        + " promoted in term "
                        + promoted.term()
                        + " lacks "
                        + entry));
          }
        });
  }

  private void recordStored(History.Stored stored) {
    if (promisedTerms.getOrDefault(stored.member(), 0L) <= stored.term()) {
      storedIndexes
          .computeIfAbsent(stored.term(), term -> new HashMap<>())
          .merge(stored.member(), stored.index(), Math::max);
    }
  }

  /**
   * Checks that a majority, including the primary, stored the entry, and that each of these members
   * did so before it promised a higher term.
   */
  private void checkAcknowledgement(History.Acknowledged acknowledgement) {
    acknowledgedTerms.put(acknowledgement.entry(), acknowledgement.term());
    long index = acknowledgement.entry().position().index();
    long replicas =
        storedIndexes.getOrDefault(acknowledgement.term(), Map.of()).entrySet().stream()
            .filter(
                stored ->
                    !stored.getKey().equals(acknowledgement.member()) && stored.getValue() >= index)
            .count();
    boolean oldPrimary =
        promisedTerms.getOrDefault(acknowledgement.member(), 0L) > acknowledgement.term();
    if (oldPrimary || replicas + 1 < majority) {
      violations.add(
          new Violation(Invariant.H2, "acknowledged without a majority: " + acknowledgement));
    }
  }

  private void checkRead(History.Read read) {
    if (!read.seen().containsAll(read.expected())) {
      Set<String> missing = new HashSet<>(read.expected());
      missing.removeAll(read.seen());
      violations.add(
          new Violation(Invariant.H1, "a read of " + read.session() + " missed " + missing));
    }
  }

  private void checkFinalLog() {
    Map<String, Integer> runs = new HashMap<>();
    Set<String> calls = new HashSet<>();
    finalLog.stream()
        .filter(Entry::isWrite)
        .forEach(entry -> runs.merge(entry.request(), 1, Integer::sum));
    finalLog.stream().filter(Entry::isWrite).forEach(entry -> calls.add(entry.call()));
    runs.forEach(
        (request, count) -> {
          if (count > 1) {
            violations.add(new Violation(Invariant.H10, request + " ran " + count + " times"));
          }
        });
    acknowledgedTerms.keySet().stream()
        .filter(entry -> !finalLog.contains(entry))
        .forEach(
            entry ->
                violations.add(
                    new Violation(
                        Invariant.H2, "acknowledged, but not in the final log: " + entry)));
    reportedOutcomes.forEach(event -> checkReportedOutcome(event, runs.keySet(), calls));
  }

  private void checkReportedOutcome(Event event, Set<String> requests, Set<String> calls) {
    if (event instanceof History.ReportedNotRun notRun && calls.contains(notRun.call())) {
      violations.add(new Violation(Invariant.H9, "reported as not run, but ran: " + notRun.call()));
    }
    if (event instanceof History.ReportedAbandoned abandoned
        && requests.contains(abandoned.request())) {
      violations.add(
          new Violation(Invariant.H9, "reported as abandoned, but ran: " + abandoned.request()));
    }
    if (event instanceof History.ReportedServed served && !requests.contains(served.request())) {
      violations.add(
          new Violation(
              Invariant.H2, "reported as served, but not in the final log: " + served.request()));
    }
  }
}
