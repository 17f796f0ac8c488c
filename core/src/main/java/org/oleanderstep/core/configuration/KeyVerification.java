package org.oleanderstep.core.configuration;

import java.util.Optional;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Outcome of the verification of a key.
 *
 * @param organisation organisation of the key, present exactly if the key is accepted
 */
public record KeyVerification(KeyStatus status, Optional<OrganisationId> organisation) {

  /** Checks that an organisation is given exactly for an accepted key. */
  public KeyVerification {
    if (status.accepts() != organisation.isPresent()) {
      throw new IllegalArgumentException("an organisation belongs to an accepted key only");
    }
  }

  static KeyVerification refused(KeyStatus status) {
    return new KeyVerification(status, Optional.empty());
  }
}
