package org.oleanderstep.gateway.failover;

import java.util.concurrent.CompletableFuture;

/**
 * Supplies the fencing token that this VM sends with its promotion requests; implemented by an
 * adapter.
 *
 * <p>Each token is issued to one VM only.
 */
public interface FencingTokenSource {

  /**
   * Returns the token that this VM holds. If it holds none, or another VM has acquired a higher one
   * since, acquires a new, higher token first. The future fails if the platform cannot be reached
   * and no token is held.
   */
  CompletableFuture<Long> acquireToken();

  /** Discards the held token, so that the next promotion request carries a higher one. */
  void discard();
}
