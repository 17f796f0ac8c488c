package org.oleanderstep.gateway.target;

/** Receives the outcome of one command; called exactly once, on the traffic thread. */
public interface ReplyHandler {

  /** The member replied. */
  void replied(TargetReply reply);

  /** The connection closed before a reply arrived; the command may have been executed. */
  void lost(String reason);
}
