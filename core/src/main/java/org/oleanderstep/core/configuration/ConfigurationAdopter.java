package org.oleanderstep.core.configuration;

import java.util.Optional;

/**
 * Decides which published configuration is in force on a process; it never goes back.
 *
 * <pre>{@code
 * if (adopter.offer(configuration) instanceof Adoption.Adopted adopted) {
 *   publish(adopted.configuration(), adopted.diff());
 * }
 * }</pre>
 *
 * <p>Owned by the control thread.
 */
public final class ConfigurationAdopter {

  private Optional<Configuration> current = Optional.empty();

  /** Offers a configuration that was read from the platform or a peer. */
  public Adoption offer(Configuration offered) {
    if (current.isEmpty() || offered.generation() > current.get().generation()) {
      return adopt(offered);
    }
    Configuration held = current.get();
    if (offered.generation() < held.generation()) {
      return new Adoption.Older(held.generation(), offered.generation());
    }
    if (offered.publicationId().equals(held.publicationId())) {
      return new Adoption.AlreadyHeld();
    }
    return new Adoption.Conflict(held.generation(), held.publicationId(), offered.publicationId());
  }

  private Adoption adopt(Configuration offered) {
    ConfigurationDiff diff = ConfigurationDiff.between(current, offered);
    current = Optional.of(offered);
    return new Adoption.Adopted(offered, diff);
  }

  /** Returns the configuration in force; empty until the first one is adopted. */
  public Optional<Configuration> current() {
    return current;
  }

  /** Returns the generation in force, zero for none. */
  public long generation() {
    return current.map(Configuration::generation).orElse(0L);
  }

  /** Returns whether a session that saw a generation must wait until it is pulled. */
  public boolean isBehind(long sessionGeneration) {
    return sessionGeneration > generation();
  }
}
