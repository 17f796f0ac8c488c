package org.oleanderstep.client;

import java.time.Duration;
import java.util.Optional;
import org.oleanderstep.client.internal.HttpLine;

/**
 * What the present thread tells {@link TargetHttpClient}, and hears of it, around a JDBC call.
 *
 * <pre>{@code
 * TargetCall call = TargetCall.begin(Duration.ofSeconds(2));
 * statement.executeUpdate(sql);
 * Optional<String> position = call.position();
 * }</pre>
 *
 * <p>Confined to its thread, except {@link #abort}.
 */
public final class TargetCall {

  private static final Duration DEFAULT_LIMIT = Duration.ofSeconds(30);
  private static final ThreadLocal<TargetCall> CURRENT = ThreadLocal.withInitial(TargetCall::new);

  private long deadlineNanos = System.nanoTime() + DEFAULT_LIMIT.toNanos();
  private String position;
  private boolean lost;
  private boolean sent;
  private volatile HttpLine line;
  private volatile boolean aborted;

  private TargetCall() {}

  /** Starts to follow the JDBC calls of this thread, which may take the given time together. */
  public static TargetCall begin(Duration limit) {
    TargetCall call = new TargetCall();
    call.deadlineNanos = System.nanoTime() + limit.toNanos();
    CURRENT.set(call);
    return call;
  }

  static TargetCall current() {
    return CURRENT.get();
  }

  Duration remaining() {
    return Duration.ofNanos(Math.max(1, deadlineNanos - System.nanoTime()));
  }

  void starting(HttpLine used) {
    line = used;
    sent = true;
    if (aborted) {
      used.abort();
    }
  }

  void answered(Optional<String> header) {
    line = null;
    header.ifPresent(text -> position = text);
  }

  void lost() {
    line = null;
    lost = true;
  }

  /** Returns the log position that the last answer carried. */
  public Optional<String> position() {
    return Optional.ofNullable(position);
  }

  /** Returns whether a call may have reached the member but has no answer. */
  public boolean isLost() {
    return lost;
  }

  /** Returns whether any call was started. */
  public boolean isStarted() {
    return sent;
  }

  /** Breaks the call that runs now; its connection cannot be used any more. */
  public void abort() {
    aborted = true;
    HttpLine used = line;
    if (used != null) {
      used.abort();
    }
  }
}
