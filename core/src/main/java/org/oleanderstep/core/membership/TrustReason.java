package org.oleanderstep.core.membership;

/** Reason for a {@link TrustDecision}. */
public enum TrustReason {
  PLATFORM_CONTACT("the platform has recently confirmed the configuration"),
  MAJORITY_CONTACT("a majority of the VMs has no newer configuration"),
  ISOLATED("no recent contact to the platform or to a majority of the VMs"),
  NEVER_CONFIRMED("no contact to the platform or to a majority of the VMs since the start");

  private final String description;

  TrustReason(String description) {
    this.description = description;
  }

  /** Returns the reason as it is logged. */
  public String description() {
    return description;
  }
}
