package org.oleanderstep.gateway.log;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.oleanderstep.core.MonotonicClock;

/**
 * Writes one structured log line for each decision.
 *
 * <pre>{@code
 * log.request("route").with("request", id).with("member", member).write();
 * }</pre>
 *
 * <p>The number of lines about requests is limited per second; the next line that is written
 * reports how many were omitted. Lines about state changes of the process are always written.
 * Thread-safe.
 */
public final class DecisionLog {

  private static final Logger LOGGER = LogManager.getLogger("oleanderstep");
  private static final int LINES_PER_SECOND = 150;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** A line under construction. */
  public static final class Line {

    private final StringMapMessage message = new StringMapMessage();
    private final boolean enabled;

    private Line(String event, boolean enabled) {
      this.enabled = enabled;
      if (enabled) {
        message.put("event", event);
      }
    }

    /** Adds a field. */
    public Line with(String field, Object value) {
      if (enabled) {
        message.put(field, String.valueOf(value));
      }
      return this;
    }

    /** Writes the line. */
    public void write() {
      if (enabled) {
        LOGGER.info(message);
      }
    }
  }

  private final MonotonicClock clock;
  private final AtomicLong omitted = new AtomicLong();
  private long windowStart;
  private int linesInWindow;

  /** Creates a log that limits its rate by the given clock. */
  public DecisionLog(MonotonicClock clock) {
    this.clock = clock;
    windowStart = clock.nanoTime();
  }

  /** Starts a line about a request; the line is omitted if the rate limit is reached. */
  public Line request(String event) {
    if (!tryAcquireLine()) {
      omitted.incrementAndGet();
      return new Line(event, false);
    }
    Line line = new Line(event, true);
    long omittedLines = omitted.getAndSet(0);
    return omittedLines == 0 ? line : line.with("omitted_lines", omittedLines);
  }

  /** Starts a line about a state change of the process, such as a new primary; always written. */
  public Line stateChange(String event) {
    return new Line(event, true);
  }

  private synchronized boolean tryAcquireLine() {
    long now = clock.nanoTime();
    if (now - windowStart >= NANOS_PER_SECOND) {
      windowStart = now;
      linesInWindow = 0;
    }
    linesInWindow++;
    return linesInWindow <= LINES_PER_SECOND;
  }
}
