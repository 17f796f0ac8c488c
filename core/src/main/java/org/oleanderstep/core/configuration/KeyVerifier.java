package org.oleanderstep.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Verifies the key that accompanies a call against the configuration in force.
 *
 * <pre>{@code
 * KeyVerification verification = KeyVerifier.verify(configuration, "k1", secretBytes);
 * }</pre>
 *
 * <p>Safe for use by many threads.
 */
public final class KeyVerifier {

  // Compared with when no key has the id, so that the time of a refusal does not tell whether the
  // id exists. No secret is known to have this digest.
  private static final String NO_DIGEST = "0".repeat(64);

  private KeyVerifier() {}

  /** Verifies a key; the time it takes does not depend on how much of the secret is right. */
  public static KeyVerification verify(Configuration configuration, String keyId, byte[] secret) {
    Optional<Key> key = configuration.key(keyId);
    String expected = key.map(Key::secretSha256).orElse(NO_DIGEST);
    boolean equal =
        MessageDigest.isEqual(
            sha256(secret).getBytes(StandardCharsets.US_ASCII),
            expected.getBytes(StandardCharsets.US_ASCII));
    if (key.isEmpty()) {
      return KeyVerification.refused(KeyStatus.UNKNOWN);
    }
    if (!equal) {
      return KeyVerification.refused(KeyStatus.WRONG);
    }
    if (key.get().withdrawn()) {
      return KeyVerification.refused(KeyStatus.WITHDRAWN);
    }
    return new KeyVerification(
        KeyStatus.ACCEPTED, Optional.of(new OrganisationId(key.get().organisation())));
  }

  /** Returns the SHA-256 of a secret in the form that {@link Key#secretSha256} has. */
  public static String sha256(byte[] secret) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(secret));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("every Java platform has SHA-256", e);
    }
  }
}
