package org.oleanderstep.core.admission;

import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * A peer's request for tokens.
 *
 * @param receiverInstance process instance of the peer
 * @param transferId unique within the peer's process
 */
public record TransferRequest(
    VmId receiver,
    String receiverInstance,
    long transferId,
    OrganisationId organisation,
    double amount) {}
