package org.oleanderstep.core.membership;

import java.time.Duration;

/**
 * Times of the exchange between peers.
 *
 * @param gossipInterval time between two rounds of exchanges
 * @param suspectAfter age of the last state after which a peer is suspect
 * @param forgetAfter age of the last state after which a peer that the platform does not list is
 *     forgotten
 * @param configurationTrust time for which a proxy serves without contact to the platform and a
 *     majority of peers
 */
public record MembershipSettings(
    Duration gossipInterval,
    Duration suspectAfter,
    Duration forgetAfter,
    Duration configurationTrust) {

  /** Settings that keep the bound of 5 s for withdrawn keys. */
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
