package org.oleanderstep.core.routing;

import org.oleanderstep.core.position.LogPosition;

/**
 * A position that includes all writes that any primary had acknowledged before a time.
 *
 * <p>Confirmed by a majority of members: their status was requested at that time or later, and none
 * of them had promised a higher term. Therefore no primary of a later term can have acknowledged a
 * write before that time.
 *
 * @param asOfNanos the time, by the monotonic clock of this proxy
 */
public record ConfirmedPosition(long asOfNanos, LogPosition position) {}
