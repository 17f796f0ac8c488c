package org.oleanderstep.core.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Recent transfers of tokens from this process to its peers.
 *
 * <p>Each transfer is remembered for twice the hold time, so that a repeated request gets the same
 * reply. Not thread-safe.
 */
final class OutgoingTransfers {

  /** Identifies a transfer by the process that receives it. */
  record Id(String receiverInstance, long transferId) {}

  /** A reply that was sent to a peer. */
  record Transfer(OrganisationId organisation, TransferReply reply, long sentAt) {}

  private final long holdNanos;
  private final Map<Id, Transfer> recent = new LinkedHashMap<>();
  private final Map<Id, Transfer> unconfirmed = new LinkedHashMap<>();

  OutgoingTransfers(long holdNanos) {
    this.holdNanos = holdNanos;
  }

  Optional<TransferReply> earlierReply(Id id) {
    return Optional.ofNullable(recent.get(id)).map(Transfer::reply);
  }

  void add(Id id, Transfer transfer) {
    recent.put(id, transfer);
    if (transfer.reply().amount() > 0) {
      unconfirmed.put(id, transfer);
    }
  }

  /** Ends the hold of a transfer that the receiver confirmed; empty if it has already ended. */
  Optional<Transfer> confirm(Id id) {
    return Optional.ofNullable(unconfirmed.remove(id));
  }

  /** Ends and returns the transfers whose hold time has passed, and forgets old replies. */
  List<Transfer> expire(long now) {
    List<Transfer> expired = new ArrayList<>();
    for (Iterator<Transfer> transfers = unconfirmed.values().iterator(); transfers.hasNext(); ) {
      Transfer transfer = transfers.next();
      if (now - transfer.sentAt() < holdNanos) {
        break;
      }
      transfers.remove();
      expired.add(transfer);
    }
    recent.values().removeIf(transfer -> now - transfer.sentAt() >= 2 * holdNanos);
    return expired;
  }
}
