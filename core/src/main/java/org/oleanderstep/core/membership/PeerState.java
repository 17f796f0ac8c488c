package org.oleanderstep.core.membership;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/**
 * What a proxy says of itself, as heard directly or through other proxies.
 *
 * @param instance random for each start of the process
 * @param sequence rises with each change of the state of an instance
 * @param configurationGeneration generation in force, zero for none
 * @param sharesVersion version of the share table in force, zero for none
 * @param platformContactAge time, when the state was made, since the platform confirmed the
 *     generation in force, directly or through others; empty for never
 * @param age time since the state was made, added up over the hops
 * @param tokens tokens held by organisation
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
