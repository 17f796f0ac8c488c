package org.oleanderstep.core.configuration;

import java.time.Duration;

/**
 * How old the data of a read may be.
 *
 * @param maxAge reads may show data that was current at most this long ago; zero means current at
 *     arrival
 * @param maxWait time for which a read may wait for a replica to catch up
 */
public record ReadRule(String name, Duration maxAge, Duration maxWait) {}
