/**
 * Distribution of reads over the members of a service by measured latency, refusals and failures,
 * and the exclusion of members that fail much more than others.
 */
package org.oleanderstep.core.balancing;
