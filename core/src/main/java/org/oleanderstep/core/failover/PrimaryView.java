package org.oleanderstep.core.failover;

import org.oleanderstep.core.model.MemberId;

/** The primary of a term, as known to this proxy. */
public record PrimaryView(MemberId member, long term) {}
