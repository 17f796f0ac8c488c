package org.oleanderstep.gateway.failover;

import java.util.concurrent.CompletableFuture;
import org.oleanderstep.core.model.MemberId;

/** Sends promotion requests to the platform; implemented by an adapter. */
@FunctionalInterface
public interface PromotionSender {

  /**
   * Requests that a member become the primary of its service. The returned future never completes
   * exceptionally.
   */
  CompletableFuture<PromotionResult> promote(String service, MemberId member, long fencingToken);
}
