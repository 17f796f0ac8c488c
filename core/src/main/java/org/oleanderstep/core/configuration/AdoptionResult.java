package org.oleanderstep.core.configuration;

/** Result of offering a published configuration to a process. */
public sealed interface AdoptionResult {

  /** The configuration is in force from now on. */
  record Adopted(Configuration configuration, ConfigurationDiff diff) implements AdoptionResult {}

  /** The same publication is already in force. */
  record AlreadyCurrent() implements AdoptionResult {}

  /** A higher generation is in force. */
  record Outdated(long currentGeneration, long offeredGeneration) implements AdoptionResult {}

  /**
   * Another publication of the same generation is in force and stays so. This violates the
   * invariant that the platform accepts one publication for each generation.
   */
  record Conflict(long generation, String currentPublicationId, String offeredPublicationId)
      implements AdoptionResult {}
}
