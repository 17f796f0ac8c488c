package org.oleanderstep.core.failover;

import org.oleanderstep.core.model.MemberId;

/** The primary of a term. */
public record PrimaryView(MemberId member, long term) {}
