package org.oleanderstep.core.configuration;

import java.util.Optional;

/**
 * Decides which published configuration is in force on a process. Never returns to a lower
 * generation.
 *
 * <pre>{@code
 * if (adopter.offer(configuration) instanceof Adoption.Adopted adopted) {
 *   publish(adopted.configuration(), adopted.diff());
 * }
 * }</pre>
 *
 * <p>Not thread-safe; call only from the control thread.
 */
public final class ConfigurationAdopter {

  private Optional<Configuration> current = Optional.empty();

  /**
   * Offers a configuration that was read from the platform or a peer, and adopts it if no
   * configuration of the same or a higher generation is in force.
   */
  public AdoptionResult offer(Configuration offered) {
    if (current.isEmpty() || offered.generation() > current.get().generation()) {
      return adopt(offered);
    }
    Configuration inForce = current.get();
    if (offered.generation() < inForce.generation()) {
      return new AdoptionResult.Outdated(inForce.generation(), offered.generation());
    }
    if (offered.publicationId().equals(inForce.publicationId())) {
      return new AdoptionResult.AlreadyCurrent();
    }
    return new AdoptionResult.Conflict(
        inForce.generation(), inForce.publicationId(), offered.publicationId());
  }

  private AdoptionResult adopt(Configuration offered) {
    ConfigurationDiff diff = ConfigurationDiff.between(current, offered);
    current = Optional.of(offered);
    return new AdoptionResult.Adopted(offered, diff);
  }

  /** Returns the configuration in force; empty until the first one is adopted. */
  public Optional<Configuration> current() {
    return current;
  }

  /** Returns the generation in force, or zero if there is none. */
  public long generation() {
    return current.map(Configuration::generation).orElse(0L);
  }

  /**
   * Returns whether a session has seen a higher generation than the one in force, so that its calls
   * must wait until this process has fetched that generation.
   */
  public boolean isBehind(long sessionGeneration) {
    return sessionGeneration > generation();
  }
}
