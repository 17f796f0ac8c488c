package org.oleanderstep.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.oleanderstep.core.model.OrganisationId;

/**
 * Verifies the key of a call against a configuration.
 *
 * <pre>{@code
 * KeyVerification verification = KeyVerifier.verify(configuration, "k1", secretBytes);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class KeyVerifier {

  // Compared with the secret if no key has the id, so that the time of a refusal does not reveal
  // whether the id exists. No secret is known to have this digest.
  private static final String NO_DIGEST = "0".repeat(64);

  private KeyVerifier() {}

  /** Verifies a key in a time that does not depend on how much of the secret is correct. */
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

  /** Returns the SHA-256 of a secret in the format of {@link Key#secretSha256}. */
  public static String sha256(byte[] secret) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(secret));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("every Java platform must support SHA-256", e);
    }
  }
}
