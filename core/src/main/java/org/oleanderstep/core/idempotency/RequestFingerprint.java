package org.oleanderstep.core.idempotency;

import java.util.List;

/**
 * Tells whether two requests with the same id are the same request.
 *
 * @param hex SHA-256 in 64 lower-case hexadecimal digits
 */
@SuppressWarnings("DoNotCallSuggester") // The bodies follow with the next commits.
public record RequestFingerprint(String hex) {

  /**
   * Returns the fingerprint of a statement with its parameters.
   *
   * @param parameters the parameters in order, in any stable encoding; null stands for SQL NULL
   */
  public static RequestFingerprint of(String statement, List<byte[]> parameters) {
    throw new UnsupportedOperationException("not implemented yet");
  }
}
