package org.oleanderstep.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.oleanderstep.core.model.VmId;

/**
 * What a proxy knows of all proxies.
 *
 * <pre>{@code
 * PeerDigest reply = table.exchange(digest, selfState, now);
 * }</pre>
 *
 * <p>Owned by the control thread. All times are nanoseconds of a {@link
 * org.oleanderstep.core.MonotonicClock}.
 */
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class PeerTable {

  /** Creates the table of a process that has just started. */
  public PeerTable(PeerIdentity self, MembershipSettings settings) {
    throw new UnsupportedOperationException(self + " " + settings);
  }

  /** Returns the identity of this process. */
  public PeerIdentity self() {
    throw new UnsupportedOperationException();
  }

  /** Replaces the state of this process; call it before each digest. */
  public void updateSelf(SelfState state) {
    throw new UnsupportedOperationException(state.toString());
  }

  /** Returns the digest to send now. */
  public PeerDigest digest(long now) {
    throw new UnsupportedOperationException("" + now);
  }

  /** Takes over what is newer in a digest that a peer sent. */
  public void merge(PeerDigest digest, long now) {
    throw new UnsupportedOperationException(digest + " " + now);
  }

  /** Takes over a newer list of the platform. */
  public void onVmList(VmList list) {
    throw new UnsupportedOperationException(list.toString());
  }

  /** Returns the last list of the platform. */
  public Optional<VmList> vmList() {
    throw new UnsupportedOperationException();
  }

  /**
   * Notes that the platform confirmed the configuration in force of this process.
   *
   * @param asOf when the request was sent whose answer confirmed it; a later time would count a
   *     change that the platform accepted while the answer travelled
   */
  public void onPlatformContact(long asOf) {
    throw new UnsupportedOperationException("" + asOf);
  }

  /** Returns the states of all other peers, with their age now. */
  public List<PeerState> peers(long now) {
    throw new UnsupportedOperationException("" + now);
  }

  /** Returns the states of the peers that are not suspect. */
  public List<PeerState> live(long now) {
    throw new UnsupportedOperationException("" + now);
  }

  /** Returns the live peer with the highest generation above the own one, to pull it from. */
  public Optional<PeerState> newestConfiguration(long now) {
    throw new UnsupportedOperationException("" + now);
  }

  /** Returns the live peer with the highest share table above the own one, to pull it from. */
  public Optional<PeerState> newestShares(long now) {
    throw new UnsupportedOperationException("" + now);
  }

  /** Returns whether each of the VMs reports at least a generation. */
  public boolean allReport(Collection<VmId> vms, long generation) {
    throw new UnsupportedOperationException(vms + " " + generation);
  }

  /** Returns what {@link TrustPolicy} needs. */
  public TrustInputs trustInputs(long now) {
    throw new UnsupportedOperationException("" + now);
  }
}
