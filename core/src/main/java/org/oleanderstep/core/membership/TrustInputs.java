package org.oleanderstep.core.membership;

import java.time.Duration;
import java.util.Optional;

/**
 * Evidence that the configuration in force is the newest.
 *
 * @param platformContactAge time since the platform confirmed the generation in force, directly or
 *     through peers; empty for never
 * @param majorityContactAge time since this process was last in contact with a majority of the VMs
 *     on the platform's list while it knew of no higher generation; empty for never
 */
public record TrustInputs(
    Optional<Duration> platformContactAge, Optional<Duration> majorityContactAge) {}
