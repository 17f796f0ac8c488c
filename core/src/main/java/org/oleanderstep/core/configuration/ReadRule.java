package org.oleanderstep.core.configuration;

import java.time.Duration;

/**
 * Limits the age of the data that reads return.
 *
 * @param maxAge reads may return data that was current at most this long before they arrived; zero
 *     means data that was current when they arrived
 * @param maxWait maximum time that a read waits for a replica to catch up
 */
public record ReadRule(String name, Duration maxAge, Duration maxWait) {}
