package org.oleanderstep.core.admission;

import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * A request of a peer for tokens.
 *
 * @param receiverInstance process instance of the peer
 * @param transferId unique for the peer's process
 */
public record TransferRequest(
    VmId receiver,
    String receiverInstance,
    long transferId,
    OrganisationId organisation,
    double amount) {}
