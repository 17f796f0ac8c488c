package org.oleanderstep.gateway.failover;

import org.oleanderstep.core.model.MemberId;

/** A request to make a member the primary of its service. */
public record Promotion(String service, MemberId member, PromotionReason reason) {}
