package org.oleanderstep.core.configuration;

/** Result of the verification of a key. */
public enum KeyStatus {
  ACCEPTED(true, "the key is accepted"),
  UNKNOWN(false, "no key has this id"),
  WRONG(false, "the secret does not match the key"),
  WITHDRAWN(false, "the key is withdrawn");

  private final boolean accepted;
  private final String description;

  KeyStatus(boolean accepted, String description) {
    this.accepted = accepted;
    this.description = description;
  }

  /** Returns whether calls with the key may run. */
  public boolean isAccepted() {
    return accepted;
  }

  /** Returns the reason for log messages; callers get the same message for every refusal. */
  public String description() {
    return description;
  }
}
