package org.oleanderstep.core.membership;

import org.oleanderstep.core.model.VmId;

/**
 * The part of a proxy's state that is fixed for the lifetime of the process.
 *
 * @param instance random identifier, new at each start of the process
 */
public record PeerIdentity(
    VmId vm, String instance, String failureDomain, String peerAddress, String callerAddress) {}
