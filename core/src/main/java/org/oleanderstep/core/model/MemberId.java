package org.oleanderstep.core.model;

/** Identifies a member of a database group by its name. */
public record MemberId(String name) {

  /** Checks that the name is not blank. */
  public MemberId {
    if (name.isBlank()) {
      throw new IllegalArgumentException("the name of a member must not be blank");
    }
  }

  @Override
  public String toString() {
    return name;
  }
}
