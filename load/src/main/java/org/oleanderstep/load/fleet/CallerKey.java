package org.oleanderstep.load.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.oleanderstep.schema.v1.Key;

/**
 * A key with its secret, for one organisation of the load.
 *
 * @param secret text that callers send; only its hash is declared
 */
public record CallerKey(String id, String organisation, String secret) {

  private static final int SECRET_BYTES = 32;

  /** Makes a key with a secret from the given generator; for tests only. */
  public static CallerKey generate(String organisation, RandomGenerator random) {
    byte[] secret = new byte[SECRET_BYTES];
    random.nextBytes(secret);
    return new CallerKey("load-" + organisation, organisation, HexFormat.of().formatHex(secret));
  }

  /** Returns the declaration of the key, with the hash of the secret. */
  public Key declaration() {
    return Key.newBuilder().setId(id).setOrganisation(organisation).setSecretSha256(hash()).build();
  }

  private String hash() {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
      return HexFormat.of().formatHex(digest.digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
