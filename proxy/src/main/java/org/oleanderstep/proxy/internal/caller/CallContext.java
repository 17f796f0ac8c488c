package org.oleanderstep.proxy.internal.caller;

import java.time.Duration;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.position.SessionState;
import org.oleanderstep.core.routing.GroupView;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;

/** A call that was identified, with the state of its session; confined to one thread at a time. */
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
   * Returns whether the session is in a transaction that is not open here, so that it has ended or
   * will end without a commit.
   */
  boolean isTransactionElsewhere() {
    return transactionElsewhere;
  }

  void setTransactionElsewhere() {
    transactionElsewhere = true;
  }

  /** Takes note that a write of the session may have run. */
  void noteUnknownWrite(ControlSnapshot latest) {
    GroupView view = latest.groups().get(database());
    long term = view == null ? 0 : view.term();
    session = session.afterUnknownWrite(database(), term);
  }

  /** Returns the time that is left, at least one millisecond and at most the limit. */
  Duration remaining(Duration limit) {
    long left = Math.min(call.deadlineNanos() - System.nanoTime(), limit.toNanos());
    return Duration.ofNanos(Math.max(1_000_000, left));
  }
}
