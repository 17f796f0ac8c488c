package org.oleanderstep.core.routing;

import org.oleanderstep.core.position.LogPosition;

/**
 * A position that includes everything that any primary had acknowledged before a time.
 *
 * <p>Proved by a majority of members that had promised no higher term when they were asked at that
 * time or later: no later primary can have acknowledged anything before.
 *
 * @param askedNanos the time, on the clock of this proxy
 */
public record PositionSample(long askedNanos, LogPosition position) {}
