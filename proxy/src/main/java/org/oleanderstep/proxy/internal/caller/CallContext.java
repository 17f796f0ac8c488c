package org.oleanderstep.proxy.internal.caller;

import java.time.Duration;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.position.SessionState;
import org.oleanderstep.core.routing.GroupView;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;

/**
 * An authenticated call with the state of its session. Not thread-safe; use it from one thread at a
 * time.
 */
final class CallContext {

  private final CallerCall call;
  private final CallerIdentity caller;
  private final ControlSnapshot snapshot;
  private volatile SessionState session;
  private volatile boolean transactionElsewhere;

  CallContext(
      CallerCall call, CallerIdentity caller, ControlSnapshot snapshot, SessionState session) {
    this.call = call;
    this.caller = caller;
    this.snapshot = snapshot;
    this.session = session;
  }

  CallerCall call() {
    return call;
  }

  CallerIdentity caller() {
    return caller;
  }

  ControlSnapshot snapshot() {
    return snapshot;
  }

  DatabaseId database() {
    return call.database();
  }

  SessionState session() {
    return session;
  }

  void setSession(SessionState next) {
    session = next;
  }

  /**
   * Returns whether the session is in a transaction that is not open on this proxy. Such a
   * transaction has ended, or will end without a commit.
   */
  boolean isTransactionElsewhere() {
    return transactionElsewhere;
  }

  void setTransactionElsewhere() {
    transactionElsewhere = true;
  }

  /** Records that a write of the session has an unknown outcome. */
  void recordUnknownWrite(ControlSnapshot latest) {
    GroupView view = latest.groups().get(database());
    long term = view == null ? 0 : view.term();
    session = session.afterUnknownWrite(database(), term);
  }

  /** Returns the time until the deadline, at least 1 ms and at most the limit. */
  Duration remaining(Duration limit) {
    long left = Math.min(call.deadlineNanos() - System.nanoTime(), limit.toNanos());
    return Duration.ofNanos(Math.max(1_000_000, left));
  }
}
