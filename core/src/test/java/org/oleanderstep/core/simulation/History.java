package org.oleanderstep.core.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.oleanderstep.core.position.LogPosition;

/** The events of one run in order of time, as the input of {@link HistoryChecker}. */
final class History {

  /**
   * An entry of a member's log.
   *
   * @param request id of the request, empty for the entry that starts a term
   * @param call id of the call that carried the request; a repeated request has several calls
   * @param abandoned whether the entry only records that the request must never run
   */
  record Entry(LogPosition position, String request, String call, boolean abandoned) {

    boolean isWrite() {
      return !request.isEmpty() && !abandoned;
    }
  }

  sealed interface Event {}

  record Promised(String member, long term) implements Event {}

  record Promoted(String member, long term, List<Entry> log) implements Event {}

  /** A replica stored the log of a primary up to an index and confirmed it. */
  record Stored(String member, long term, long index) implements Event {}

  /**
   * A primary acknowledged an entry. A repeated request that finds its earlier entry adds no event.
   */
  record Acknowledged(String member, long term, Entry entry) implements Event {}

  /** A member replaced an entry that it had applied. */
  record AppliedEntryLost(String member, Entry entry) implements Event {}

  /** A caller received the outcome "not run" for a call. */
  record ReportedNotRun(String call) implements Event {}

  /** A caller was informed that a request can never run, whatever the outcomes of its calls. */
  record ReportedAbandoned(String request) implements Event {}

  record ReportedServed(String session, String request) implements Event {}

  /**
   * A read was served.
   *
   * @param expected requests of this session that were served before the read
   * @param seen requests whose writes the read returned
   */
  record Read(String session, Set<String> expected, Set<String> seen) implements Event {}

  /** The run ended after all faults were healed; the log is empty if there was no primary. */
  record RunEnded(boolean hasPrimary, List<Entry> log) implements Event {}

  private final List<Event> events = new ArrayList<>();

  void add(Event event) {
    events.add(event);
  }

  List<Event> events() {
    return events;
  }
}
