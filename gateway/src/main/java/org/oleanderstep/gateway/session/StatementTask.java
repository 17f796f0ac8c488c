package org.oleanderstep.gateway.session;

/** A step in serving a statement. Not thread-safe; call only from the traffic thread. */
interface StatementTask {

  /** Starts the task. */
  void start();

  /** Ends the task if it has timed out. */
  void tick(long now);

  /** Ends the task at once with a final answer, as if its time limit had passed. */
  void expire();

  /** Abandons the task after the caller has disconnected; no answer is sent. */
  void abandon();
}
