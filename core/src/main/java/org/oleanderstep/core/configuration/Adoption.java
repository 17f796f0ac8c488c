package org.oleanderstep.core.configuration;

/** What became of a configuration that was offered to a process. */
public sealed interface Adoption {

  /** The configuration is in force from now on. */
  record Adopted(Configuration configuration, ConfigurationDiff diff) implements Adoption {}

  /** The same publication is in force already. */
  record AlreadyHeld() implements Adoption {}

  /** A higher generation is in force. */
  record Older(long heldGeneration, long offeredGeneration) implements Adoption {}

  /**
   * Another publication has the generation in force; this breaks the invariant that the platform
   * accepts one publication for each generation. The held one stays in force.
   */
  record Conflict(long generation, String heldPublicationId, String offeredPublicationId)
      implements Adoption {}
}
