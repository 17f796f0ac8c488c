package org.oleanderstep.core.membership;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * The state of a proxy as reported by itself, received directly or relayed by other proxies.
 *
 * @param instance random identifier, new at each start of the process
 * @param sequence number that increases with each new state of an instance
 * @param configurationGeneration generation of the configuration in force; zero for none
 * @param sharesVersion version of the share table in force; zero for none
 * @param platformContactAge time from the platform's last confirmation of the generation in force,
 *     received directly or through peers, to the creation of this state; empty for no confirmation
 * @param age time since the state was created, accumulated over the hops
 * @param tokens tokens held for each organisation
 */
public record PeerState(
    VmId vm,
    String instance,
    long sequence,
    String failureDomain,
    String peerAddress,
    String callerAddress,
    long configurationGeneration,
    long sharesVersion,
    Optional<Duration> platformContactAge,
    Duration age,
    boolean ready,
    boolean leaving,
    Map<OrganisationId, Double> tokens) {

  /** Copies the map of tokens and checks the age. */
  public PeerState {
    if (age.isNegative()) {
      throw new IllegalArgumentException("age must not be negative: " + age);
    }
    tokens = Map.copyOf(tokens);
  }

  /** Returns the same state with another age. */
  public PeerState withAge(Duration newAge) {
    return new PeerState(
        vm,
        instance,
        sequence,
        failureDomain,
        peerAddress,
        callerAddress,
        configurationGeneration,
        sharesVersion,
        platformContactAge,
        newAge,
        ready,
        leaving,
        tokens);
  }
}
