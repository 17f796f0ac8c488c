package org.oleanderstep.core.admission;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.oleanderstep.core.configuration.Organisation;
import org.oleanderstep.core.membership.PeerState;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * Token buckets of one process for all organisations, within the slots of its VM.
 *
 * <pre>{@code
 * if (!ledger.tryAcquire(organisation, clock.nanoTime())) {
 *   // on the control thread:
 *   actions = ledger.await(requestId, organisation, deadline, clock.nanoTime());
 * }
 * }</pre>
 *
 * <p>{@link #tryAcquire} may be called by all threads and allocates nothing; everything else
 * belongs to the control thread. All times are nanoseconds of a {@link
 * org.oleanderstep.core.MonotonicClock}.
 */
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class ShareLedger {

  /** Creates the ledger of a process that has just started; all buckets are empty. */
  public ShareLedger(VmId self, AdmissionSettings settings) {
    throw new UnsupportedOperationException(self + " " + settings);
  }

  /**
   * Consumes a token if one is available locally. Call it as the last step before the statement is
   * sent.
   */
  public boolean tryAcquire(OrganisationId organisation, long now) {
    throw new UnsupportedOperationException(organisation + " " + now);
  }

  /**
   * Lets a request wait for a token that is not available locally.
   *
   * @param requestId chosen by the caller; names the request in {@link AdmissionAction.Admit} and
   *     {@link AdmissionAction.Refuse}
   * @param deadline time after which the request must not run
   */
  public List<AdmissionAction> await(
      long requestId, OrganisationId organisation, long deadline, long now) {
    throw new UnsupportedOperationException(requestId + " " + organisation + deadline + now);
  }

  /** Stops the wait of a request whose caller is gone. */
  public void cancel(long requestId) {
    throw new UnsupportedOperationException("" + requestId);
  }

  /** Does what is due; call it at least every 5 ms while requests wait, else every 100 ms. */
  public List<AdmissionAction> onTick(long now) {
    throw new UnsupportedOperationException("" + now);
  }

  /** Deducts tokens for a peer and returns what it gets; the same request gets the same answer. */
  public TransferReply onTransferRequest(TransferRequest request, long now) {
    throw new UnsupportedOperationException(request + " " + now);
  }

  /** Takes over tokens of a peer if the answer arrived in time. */
  public List<AdmissionAction> onTransferReply(long transferId, TransferReply reply, long now) {
    throw new UnsupportedOperationException(transferId + " " + reply + now);
  }

  /** Notes that a peer did not answer. */
  public List<AdmissionAction> onTransferFailed(long transferId, long now) {
    throw new UnsupportedOperationException(transferId + " " + now);
  }

  /** Ends the hold of a transfer that the receiver confirmed. */
  public void onTransferConfirm(String receiverInstance, long transferId, long now) {
    throw new UnsupportedOperationException(receiverInstance + " " + transferId + now);
  }

  /** Adopts a share table, or confirms the one that is held. */
  public List<AdmissionAction> onShares(ShareTable table, long now) {
    throw new UnsupportedOperationException(table + " " + now);
  }

  /** Stops using a slot before it is handed over; must be called before the table is published. */
  public void release(int slot, long now) {
    throw new UnsupportedOperationException(slot + " " + now);
  }

  /** Adopts the rates and bursts of a generation. */
  public List<AdmissionAction> onOrganisations(
      long generation, Collection<Organisation> organisations, long now) {
    throw new UnsupportedOperationException(generation + " " + organisations + now);
  }

  /**
   * Notes that all holders of slots have adopted a generation, so that an organisation whose place
   * changed with it gets its new share.
   */
  public void onGenerationInForce(long generation, long now) {
    throw new UnsupportedOperationException(generation + " " + now);
  }

  /** Takes over what peers said of their tokens. */
  public void onPeers(Collection<PeerState> peers, long now) {
    throw new UnsupportedOperationException(peers + " " + now);
  }

  /** Stops admission until the share table is confirmed; called after a pause of the process. */
  public List<AdmissionAction> onPause(long now) {
    throw new UnsupportedOperationException("" + now);
  }

  /** Returns the tokens held by organisation, for the gossip. */
  public Map<OrganisationId, Double> tokens(long now) {
    throw new UnsupportedOperationException("" + now);
  }

  /** Returns the version of the table in force, zero for none. */
  public long sharesVersion() {
    throw new UnsupportedOperationException();
  }
}
