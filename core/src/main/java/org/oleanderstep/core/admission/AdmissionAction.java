package org.oleanderstep.core.admission;

import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/** An action that {@link AdmissionController} returns for its caller to carry out. */
public sealed interface AdmissionAction {

  /**
   * Requests tokens from a peer. Pass the reply to {@link AdmissionController#onTransferReply}, or
   * a failed call to {@link AdmissionController#onTransferFailed}.
   */
  record PullTokens(VmId peer, OrganisationId organisation, double amount, long transferId)
      implements AdmissionAction {}

  /** Tells the donor that the tokens of a transfer arrived in time. */
  record ConfirmTransfer(VmId peer, long transferId) implements AdmissionAction {}

  /** Admits a waiting request, whose token is already consumed. */
  record Admit(long requestId) implements AdmissionAction {}

  /** Refuses a waiting request. */
  record Refuse(long requestId, NotRunReason reason) implements AdmissionAction {}

  /**
   * Reads the share table from the platform or a peer, with a request that is sent now, and passes
   * the answer to {@link AdmissionController#onSharesConfirmed}. No request is admitted until then.
   *
   * @param confirmationId identifies the answer; an answer to an earlier request may be outdated
   *     and is not accepted
   */
  record ConfirmShares(long confirmationId) implements AdmissionAction {}
}
