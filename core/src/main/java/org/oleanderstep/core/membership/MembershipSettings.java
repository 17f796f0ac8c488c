package org.oleanderstep.core.membership;

import java.time.Duration;

/**
 * Intervals and timeouts of gossip between peers.
 *
 * @param gossipInterval time between two gossip rounds
 * @param suspectAfter age of its last state after which a peer is suspected to have failed
 * @param forgetAfter age of its last state after which a peer that the platform does not list is
 *     removed
 * @param configurationTrust time for which a proxy may serve while it has contact neither to the
 *     platform nor to a majority of its peers
 */
public record MembershipSettings(
    Duration gossipInterval,
    Duration suspectAfter,
    Duration forgetAfter,
    Duration configurationTrust) {

  /** Settings chosen for the bound of 5 s within which a withdrawn key must be refused. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(
          Duration.ofMillis(500),
          Duration.ofMillis(1_500),
          Duration.ofSeconds(30),
          Duration.ofSeconds(4));

  /** Checks that all times are positive. */
  public MembershipSettings {
    requirePositive("gossipInterval", gossipInterval);
    requirePositive("suspectAfter", suspectAfter);
    requirePositive("forgetAfter", forgetAfter);
    requirePositive("configurationTrust", configurationTrust);
  }

  private static void requirePositive(String name, Duration value) {
    if (value.isNegative() || value.isZero()) {
      throw new IllegalArgumentException(name + " must be positive: " + value);
    }
  }
}
