package org.oleanderstep.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Limits the connections of one process to one member and counts those of each organisation.
 *
 * <pre>{@code
 * if (budget.tryAcquire(organisation, queue.othersWait(organisation))) send(request);
 * }</pre>
 *
 * <p>While others wait, an organisation gets no connection beyond half of the budget. A transaction
 * counts for as long as it holds its connection. Not thread-safe.
 */
public final class ConnectionBudget {

  private final Map<OrganisationId, Integer> held = new HashMap<>();
  private int maxConnections;
  private int inUse;

  /**
   * Creates a budget.
   *
   * @param memberLimit connections that the member accepts from all VMs together
   * @param vms VMs in the share table
   */
  public ConnectionBudget(int memberLimit, int vms) {
    resize(memberLimit, vms);
  }

  /**
   * Sets the limit of the member and the number of VMs.
   *
   * <p>Connections in use above a smaller budget are not closed; none is granted until enough of
   * them have been released.
   */
  public void resize(int memberLimit, int vms) {
    if (memberLimit < 1 || vms < 1) {
      throw new IllegalArgumentException(
          "member limit and number of VMs must be positive: " + memberLimit + ", " + vms);
    }
    maxConnections = Math.max(1, memberLimit / vms);
  }

  /** Returns the maximum number of connections of this process. */
  public int maxConnections() {
    return maxConnections;
  }

  /** Returns the number of connections in use. */
  public int inUse() {
    return inUse;
  }

  /** Returns the number of connections that an organisation holds. */
  public int heldBy(OrganisationId organisation) {
    return held.getOrDefault(organisation, 0);
  }

  /**
   * Returns whether an organisation may take a connection now.
   *
   * @param othersWait whether another organisation waits for this member
   */
  public boolean mayAcquire(OrganisationId organisation, boolean othersWait) {
    if (inUse >= maxConnections) {
      return false;
    }
    int half = Math.max(1, maxConnections / 2);
    return !othersWait || heldBy(organisation) < half;
  }

  /** Takes a connection if {@link #mayAcquire} allows it, and returns whether it did. */
  public boolean tryAcquire(OrganisationId organisation, boolean othersWait) {
    if (!mayAcquire(organisation, othersWait)) {
      return false;
    }
    held.merge(organisation, 1, Integer::sum);
    inUse++;
    return true;
  }

  /**
   * Returns a connection.
   *
   * @throws IllegalStateException if the organisation holds none
   */
  public void release(OrganisationId organisation) {
    if (heldBy(organisation) == 0) {
      throw new IllegalStateException(organisation + " holds no connection to release");
    }
    held.computeIfPresent(organisation, (id, count) -> count == 1 ? null : count - 1);
    inUse--;
  }
}
