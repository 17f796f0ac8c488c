package org.oleanderstep.gateway.session;

/** Whether a statement may change data. */
public enum StatementEffect {
  /** Returns rows and changes nothing; may be retried. */
  READ,
  /** Changes data; must not be retried if it may have been executed. */
  WRITE
}
