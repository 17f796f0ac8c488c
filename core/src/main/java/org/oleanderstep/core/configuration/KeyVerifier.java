package org.oleanderstep.core.configuration;

/**
 * Verifies the key that accompanies a call against the configuration in force.
 *
 * <pre>{@code
 * KeyVerification verification = KeyVerifier.verify(configuration, "k1", secretBytes);
 * }</pre>
 *
 * <p>Safe for use by many threads.
 */
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class KeyVerifier {

  private KeyVerifier() {}

  /** Verifies a key; the time it takes does not depend on how much of the secret is right. */
  public static KeyVerification verify(Configuration configuration, String keyId, byte[] secret) {
    throw new UnsupportedOperationException(configuration + keyId + secret.length);
  }

  /** Returns the SHA-256 of a secret in the form that {@link Key#secretSha256} has. */
  public static String sha256(byte[] secret) {
    throw new UnsupportedOperationException("" + secret.length);
  }
}
