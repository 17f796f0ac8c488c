package org.oleanderstep.core.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Tokens that this process gave to peers lately.
 *
 * <p>Each grant is remembered for twice the hold time, so that a repeated request gets the same
 * answer.
 */
final class Grants {

  record Id(String receiverInstance, long transferId) {}

  record Grant(OrganisationId organisation, TransferReply reply, long givenAt) {}

  private final long holdNanos;
  private final Map<Id, Grant> remembered = new LinkedHashMap<>();
  private final Map<Id, Grant> held = new LinkedHashMap<>();

  Grants(long holdNanos) {
    this.holdNanos = holdNanos;
  }

  Optional<TransferReply> earlierReply(Id id) {
    return Optional.ofNullable(remembered.get(id)).map(Grant::reply);
  }

  void add(Id id, Grant grant) {
    remembered.put(id, grant);
    if (grant.reply().amount() > 0) {
      held.put(id, grant);
    }
  }

  /** Ends the hold of a grant that the receiver confirmed. */
  Optional<Grant> confirm(Id id) {
    return Optional.ofNullable(held.remove(id));
  }

  /** Returns the grants whose hold time has passed, and forgets old ones. */
  List<Grant> expire(long now) {
    List<Grant> ended = new ArrayList<>();
    for (Iterator<Grant> grants = held.values().iterator(); grants.hasNext(); ) {
      Grant grant = grants.next();
      if (now - grant.givenAt() < holdNanos) {
        break;
      }
      grants.remove();
      ended.add(grant);
    }
    remembered.values().removeIf(grant -> now - grant.givenAt() >= 2 * holdNanos);
    return ended;
  }
}
