package org.oleanderstep.core.model;

/** Identifies a VM by its name. */
public record VmId(String name) {

  /** Checks that the name is not blank. */
  public VmId {
    if (name.isBlank()) {
      throw new IllegalArgumentException("the name of a VM must not be blank");
    }
  }

  @Override
  public String toString() {
    return name;
  }
}
