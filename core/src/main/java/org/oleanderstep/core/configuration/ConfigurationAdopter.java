package org.oleanderstep.core.configuration;

import java.util.Optional;

/**
 * Decides which published configuration is in force on a process; it never goes back.
 *
 * <pre>{@code
 * switch (adopter.offer(configuration)) ...
 * }</pre>
 *
 * <p>Owned by the control thread.
 */
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class ConfigurationAdopter {

  /** Offers a configuration that was read from the platform or a peer. */
  public Adoption offer(Configuration offered) {
    throw new UnsupportedOperationException(offered.toString());
  }

  /** Returns the configuration in force; empty until the first one is adopted. */
  public Optional<Configuration> current() {
    return Optional.empty();
  }

  /** Returns the generation in force, zero for none. */
  public long generation() {
    return 0;
  }

  /** Returns whether a session that saw a generation must wait until it is pulled. */
  public boolean isBehind(long sessionGeneration) {
    return sessionGeneration > generation();
  }
}
