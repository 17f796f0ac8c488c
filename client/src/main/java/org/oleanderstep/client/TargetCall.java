package org.oleanderstep.client;

import java.time.Duration;
import java.util.Optional;
import org.oleanderstep.client.internal.HttpConnection;

/**
 * Passes the deadline of a JDBC call to {@link TargetHttpClient}, and the log position and outcome
 * of the call back, by a thread-local variable.
 *
 * <pre>{@code
 * TargetCall call = TargetCall.begin(Duration.ofSeconds(2));
 * statement.executeUpdate(sql);
 * Optional<String> position = call.position();
 * }</pre>
 *
 * <p>Not thread-safe; call only from the thread that called {@link #begin}, except {@link #abort},
 * which any thread may call.
 */
public final class TargetCall {

  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);
  private static final ThreadLocal<TargetCall> CURRENT = ThreadLocal.withInitial(TargetCall::new);

  private long deadlineNanos = System.nanoTime() + DEFAULT_TIMEOUT.toNanos();
  private String position;
  private boolean responseLost;
  private boolean started;
  private volatile HttpConnection connection;
  private volatile boolean aborted;

  private TargetCall() {}

  /** Starts to track the JDBC calls of this thread; the timeout limits their total duration. */
  public static TargetCall begin(Duration timeout) {
    TargetCall call = new TargetCall();
    call.deadlineNanos = System.nanoTime() + timeout.toNanos();
    CURRENT.set(call);
    return call;
  }

  static TargetCall current() {
    return CURRENT.get();
  }

  Duration remaining() {
    return Duration.ofNanos(Math.max(1, deadlineNanos - System.nanoTime()));
  }

  void onStart(HttpConnection usedConnection) {
    connection = usedConnection;
    started = true;
    if (aborted) {
      usedConnection.abort();
    }
  }

  void onResponse(Optional<String> header) {
    connection = null;
    header.ifPresent(text -> position = text);
  }

  void onResponseLost() {
    connection = null;
    responseLost = true;
  }

  /** Returns the log position in the header of the last response that had one. */
  public Optional<String> position() {
    return Optional.ofNullable(position);
  }

  /** Returns whether a call may have reached the member but got no response. */
  public boolean isResponseLost() {
    return responseLost;
  }

  /** Returns whether any call was started. */
  public boolean isStarted() {
    return started;
  }

  /** Aborts the call in progress; its connection cannot be used afterwards. */
  public void abort() {
    aborted = true;
    HttpConnection usedConnection = connection;
    if (usedConnection != null) {
      usedConnection.abort();
    }
  }
}
