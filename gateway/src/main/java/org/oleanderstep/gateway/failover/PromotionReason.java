package org.oleanderstep.gateway.failover;

import java.time.Duration;

/** Why a service needs a new primary, and how long the reason must persist before a VM acts. */
public enum PromotionReason {
  /** The primary has announced that it is stopping. */
  LEAVING(Duration.ZERO),
  /** The failure domain of the primary is evacuated, so that nothing may be sent to it. */
  EVACUATED(Duration.ZERO),
  /** A majority of the VMs gets no answer from the primary. */
  UNREACHABLE(Duration.ZERO),
  /**
   * No member claims to be the primary. The delay covers a registry entry that only expired because
   * the platform was unavailable.
   */
  MISSING(Duration.ofMillis(2_300));

  private final Duration confirmationPeriod;

  PromotionReason(Duration confirmationPeriod) {
    this.confirmationPeriod = confirmationPeriod;
  }

  Duration confirmationPeriod() {
    return confirmationPeriod;
  }
}
