package org.oleanderstep.core.admission;

import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/** An order of {@link ShareLedger} that the caller has to carry out. */
public sealed interface AdmissionAction {

  /**
   * Asks a peer for tokens; its answer goes to {@link ShareLedger#onTransferReply}, a failed call
   * to {@link ShareLedger#onTransferFailed}.
   */
  record PullTokens(VmId peer, OrganisationId organisation, double amount, long transferId)
      implements AdmissionAction {}

  /** Tells the giver that the tokens of a transfer arrived in time. */
  record ConfirmTransfer(VmId peer, long transferId) implements AdmissionAction {}

  /** Sends a waiting request on its way now; its token is consumed. */
  record Admit(long requestId) implements AdmissionAction {}

  /** Refuses a waiting request. */
  record Refuse(long requestId, NotRunReason reason) implements AdmissionAction {}

  /**
   * Reads the share table from the platform or a peer with a request that is sent now, and hands
   * the answer to {@link ShareLedger#onSharesConfirmed}; nothing is admitted until then.
   *
   * @param confirmationId names the answer; an answer to an earlier request proves nothing
   */
  record ConfirmShares(long confirmationId) implements AdmissionAction {}
}
