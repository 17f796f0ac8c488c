package org.oleanderstep.core.membership;

import java.time.Duration;
import java.util.Optional;

/**
 * Evidence that the configuration in force is the newest one.
 *
 * @param platformContactAge time since the platform last confirmed the generation in force,
 *     directly or through peers; empty for no confirmation
 * @param majorityContactAge time since this process last had contact to a majority of the VMs on
 *     the platform's list while it knew of no higher generation; empty for no such contact
 */
public record TrustEvidence(
    Optional<Duration> platformContactAge, Optional<Duration> majorityContactAge) {}
