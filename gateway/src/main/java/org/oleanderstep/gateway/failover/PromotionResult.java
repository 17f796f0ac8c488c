package org.oleanderstep.gateway.failover;

/** The platform's response to a promotion request. */
public enum PromotionResult {
  /** The member is the primary or is about to become it. */
  ACCEPTED,
  /** Another VM has used a higher fencing token, or the member is not running. */
  REFUSED,
  /** The request had no effect and may be repeated. */
  NOT_DONE,
  /** No response; the request may still be executed, even after later ones. */
  UNKNOWN
}
