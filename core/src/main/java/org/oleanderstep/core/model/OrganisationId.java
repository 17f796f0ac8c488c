package org.oleanderstep.core.model;

/** Identifies an organisation by its name. */
public record OrganisationId(String name) {

  /** Checks that the name is not blank. */
  public OrganisationId {
    if (name.isBlank()) {
      throw new IllegalArgumentException("the name of an organisation must not be blank");
    }
  }

  @Override
  public String toString() {
    return name;
  }
}
