package org.oleanderstep.gateway.failover;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Supplies the fencing tokens that this VM sends with its promotion requests, and records its
 * requests for the other VMs; implemented by an adapter.
 *
 * <p>Each token is issued to one VM only. Call only from the control thread.
 */
public interface FencingTokenSource {

  /**
   * Records that this VM is about to request the promotion of a member of a service, and returns a
   * token for it, which is higher than all before it for that service. The future fails if that
   * cannot be recorded, or if another VM holds the lease.
   */
  CompletableFuture<Long> acquireToken(String service);

  /**
   * Returns the last token that this VM has acquired, if no other VM is known to have acquired a
   * higher one, and no request for another promotion with it is without a response.
   */
  Optional<Long> heldToken(Promotion promotion);

  /** Records that a request is being sent with an acquired or a held token. */
  void onRequested();

  /** Records the result of a request. */
  void onResult(Promotion promotion, PromotionResult result);

  /** Returns whether a request of this VM may still be carried out. */
  boolean isOpen();

  /**
   * Tells the other VMs that no request of this VM may be carried out any more, if so. Call at the
   * end of each attempt for which a token was acquired.
   */
  void endAttempt();
}
