package org.oleanderstep.gateway.session;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.oleanderstep.gateway.log.DecisionLog;

/**
 * Adds up the time that a statement has spent in each part of its way.
 *
 * <pre>{@code
 * time.enter(Part.CONNECTION, now);
 * time.enter(Part.MEMBER, later);
 * time.end(end);
 * time.writeTo(line);
 * }</pre>
 *
 * <p>Not thread-safe. Times are in nanoseconds of the monotonic clock.
 */
final class OperationTime {

  /** A part of the way of a statement. */
  enum Part {
    /** Waiting for a token of the organisation's rate. */
    TOKEN,
    /** Waiting for a connection, including the delay before a retry. */
    CONNECTION,
    /** Giving the connection the session's state, and beginning a transaction. */
    SYNCHRONIZATION,
    /** Waiting for the member's reply to the statement. */
    MEMBER;

    private final String field = name().toLowerCase(Locale.ROOT) + "_ms";
    private final String tag = name().toLowerCase(Locale.ROOT);

    /** Returns the value of the tag {@code part} of timers. */
    String tag() {
      return tag;
    }
  }

  private final Map<Part, Long> nanos = new EnumMap<>(Part.class);
  private Part current = Part.CONNECTION;
  private long since;

  /**
   * Starts the account of a statement that has its token.
   *
   * @param tokenWaitNanos how long it waited for the token
   */
  OperationTime(long tokenWaitNanos, long now) {
    nanos.put(Part.TOKEN, tokenWaitNanos);
    since = now;
  }

  /** Ends the current part and starts another one. */
  void enter(Part next, long now) {
    end(now);
    current = next;
  }

  /** Adds the time since the last change to the current part. */
  void end(long now) {
    nanos.merge(current, now - since, Long::sum);
    since = now;
  }

  /** Returns the time spent in a part, up to the last change. */
  Duration in(Part part) {
    return Duration.ofNanos(nanos.getOrDefault(part, 0L));
  }

  /** Adds a field in milliseconds for each part to a log line. */
  DecisionLog.Line writeTo(DecisionLog.Line line) {
    for (Part part : Part.values()) {
      line.with(part.field, in(part).toMillis());
    }
    return line;
  }
}
