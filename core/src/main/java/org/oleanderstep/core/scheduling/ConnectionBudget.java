package org.oleanderstep.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;

/**
 * The connections of one process to one member, and how many each organisation holds.
 *
 * <pre>{@code
 * if (budget.tryAcquire(organisation, queue.othersWait(organisation))) send(request);
 * }</pre>
 *
 * <p>A transaction counts as long as it holds its connection. Not safe for use by several threads.
 */
public final class ConnectionBudget {

  private final Map<OrganisationId, Integer> held = new HashMap<>();
  private int connections;
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

  /** Adapts to another limit or number of VMs; connections in use above it end by themselves. */
  public void resize(int memberLimit, int vms) {
    if (memberLimit < 1 || vms < 1) {
      throw new IllegalArgumentException(
          "the limit and the number of VMs must be positive: " + memberLimit + ", " + vms);
    }
    connections = Math.max(1, memberLimit / vms);
  }

  /** Returns the connections that this process may have. */
  public int connections() {
    return connections;
  }

  /** Returns the connections in use. */
  public int inUse() {
    return inUse;
  }

  /** Returns the connections that an organisation holds. */
  public int heldBy(OrganisationId organisation) {
    return held.getOrDefault(organisation, 0);
  }

  /**
   * Returns whether an organisation may take a connection now.
   *
   * @param othersWait whether another organisation waits for this member
   */
  public boolean mayAcquire(OrganisationId organisation, boolean othersWait) {
    if (inUse >= connections) {
      return false;
    }
    int half = Math.max(1, connections / 2);
    return !othersWait || heldBy(organisation) < half;
  }

  /** Takes a connection if {@link #mayAcquire} allows it. */
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
