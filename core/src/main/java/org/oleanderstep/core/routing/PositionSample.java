package org.oleanderstep.core.routing;

import org.oleanderstep.core.position.LogPosition;

/**
 * A position of the primary together with a time at which nothing later had been acknowledged.
 *
 * @param askedNanos when the request that returned the position was sent
 */
public record PositionSample(long askedNanos, LogPosition position) {}
