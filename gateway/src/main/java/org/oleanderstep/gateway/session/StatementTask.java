package org.oleanderstep.gateway.session;

/** A step in serving a statement. Not thread-safe; call only from the traffic thread. */
interface StatementTask {

  /** Starts the task. */
  void start();

  /** Ends the task if it has timed out. */
  void tick(long now);

  /** Abandons the task after the caller has disconnected; no answer is sent. */
  void abandon();
}
