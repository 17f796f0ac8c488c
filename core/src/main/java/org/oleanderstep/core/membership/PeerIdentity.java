package org.oleanderstep.core.membership;

import org.oleanderstep.core.model.VmId;

/**
 * The part of a proxy's own state that stays the same while it runs.
 *
 * @param instance random for each start of the process
 */
public record PeerIdentity(
    VmId vm, String instance, String failureDomain, String peerAddress, String callerAddress) {}
