package org.oleanderstep.gateway.failover;

/** A service that needs a new primary; which member that will be is not chosen yet. */
public record PromotionNeed(String service, PromotionReason reason) {}
