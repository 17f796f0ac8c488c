package org.oleanderstep.core.scheduling;

import org.oleanderstep.core.model.OrganisationId;

/**
 * The connections of one process to one member, and how many each organisation holds.
 *
 * <p>A transaction counts as long as it holds its connection. Not safe for use by several threads.
 */
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class ConnectionBudget {

  /**
   * Creates a budget.
   *
   * @param memberLimit connections that the member accepts from all VMs together
   * @param vms VMs in the share table
   */
  public ConnectionBudget(int memberLimit, int vms) {
    throw new UnsupportedOperationException(memberLimit + " " + vms);
  }

  /** Adapts to another limit or number of VMs; connections above the new budget are let go. */
  public void resize(int memberLimit, int vms) {
    throw new UnsupportedOperationException(memberLimit + " " + vms);
  }

  /** Returns the connections that this process may have. */
  public int connections() {
    throw new UnsupportedOperationException();
  }

  /** Returns the connections in use. */
  public int inUse() {
    throw new UnsupportedOperationException();
  }

  /**
   * Returns whether an organisation may take a connection now.
   *
   * @param othersWait whether another organisation waits for this member
   */
  public boolean mayAcquire(OrganisationId organisation, boolean othersWait) {
    throw new UnsupportedOperationException(organisation + " " + othersWait);
  }

  /** Takes a connection if {@link #mayAcquire} allows it. */
  public boolean tryAcquire(OrganisationId organisation, boolean othersWait) {
    throw new UnsupportedOperationException(organisation + " " + othersWait);
  }

  /** Returns a connection. */
  public void release(OrganisationId organisation) {
    throw new UnsupportedOperationException(organisation.toString());
  }
}
