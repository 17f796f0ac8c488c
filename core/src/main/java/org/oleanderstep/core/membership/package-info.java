/**
 * Peers of a proxy, the digests they exchange, the choice of the VMs that watch the platform, and
 * the trust in the configuration at hand.
 */
package org.oleanderstep.core.membership;
