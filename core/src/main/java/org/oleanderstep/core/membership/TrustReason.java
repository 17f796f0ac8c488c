package org.oleanderstep.core.membership;

/** Why a configuration is trusted or not. */
public enum TrustReason {
  PLATFORM_CONTACT("the platform confirmed the configuration lately"),
  MAJORITY_CONTACT("a majority of the VMs has no newer configuration"),
  ISOLATED("neither the platform nor a majority of the VMs was heard lately"),
  NEVER_CONFIRMED("neither the platform nor a majority of the VMs was heard since the start");

  private final String description;

  TrustReason(String description) {
    this.description = description;
  }

  /** Returns the reason in words. */
  public String description() {
    return description;
  }
}
