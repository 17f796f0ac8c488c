package org.oleanderstep.core.configuration;

import java.util.Optional;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Outcome of the verification of a key.
 *
 * @param organisation organisation of the key, present if and only if the key is accepted
 */
public record KeyVerification(KeyStatus status, Optional<OrganisationId> organisation) {

  /** Checks that the organisation is present if and only if the key is accepted. */
  public KeyVerification {
    if (status.isAccepted() != organisation.isPresent()) {
      throw new IllegalArgumentException(
          "the organisation must be present if and only if the key is accepted");
    }
  }

  static KeyVerification refused(KeyStatus status) {
    return new KeyVerification(status, Optional.empty());
  }
}
