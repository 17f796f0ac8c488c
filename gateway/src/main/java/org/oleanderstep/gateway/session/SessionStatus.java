package org.oleanderstep.gateway.session;

/** Whether a session is inside a transaction. */
public enum SessionStatus {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  IN_TRANSACTION,
  /** The open transaction has failed and can only be ended. */
  FAILED_TRANSACTION
}
