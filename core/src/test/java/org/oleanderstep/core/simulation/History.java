package org.oleanderstep.core.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.oleanderstep.core.position.LogPosition;

/** Everything that was promised, acknowledged, read and told in one run, in order of time. */
final class History {

  /**
   * An entry of a member's log.
   *
   * @param request id of the request, empty for the entry that starts a term
   * @param call the call that carried the request; a repeated request has several
   * @param abandoned whether the entry only prevents the request from running
   */
  record Entry(LogPosition position, String request, String call, boolean abandoned) {

    boolean isWrite() {
      return !request.isEmpty() && !abandoned;
    }
  }

  /** What happened. */
  sealed interface Event {}

  record Promised(String member, long term) implements Event {}

  record Promoted(String member, long term, List<Entry> log) implements Event {}

  /** A replica stored the log of a primary up to an index and said so. */
  record Stored(String member, long term, long index) implements Event {}

  /** A primary acknowledged an entry; entries that repeat another one are not listed. */
  record Acknowledged(String member, long term, Entry entry) implements Event {}

  /** A member replaced an entry that it had applied. */
  record AppliedEntryLost(String member, Entry entry) implements Event {}

  /** A caller was told that a call was not run. */
  record ToldNotRun(String call) implements Event {}

  /** A caller was told that a request can never run, whatever became of its calls. */
  record ToldAbandoned(String request) implements Event {}

  record ToldServed(String session, String request) implements Event {}

  /** A read was answered with the requests whose writes it saw. */
  record Read(String session, Set<String> mustSee, Set<String> seen) implements Event {}

  /** The log of the last primary after all faults were healed; empty if there was none. */
  record Ended(boolean hasPrimary, List<Entry> log) implements Event {}

  private final List<Event> events = new ArrayList<>();

  void add(Event event) {
    events.add(event);
  }

  List<Event> events() {
    return events;
  }
}
