package org.oleanderstep.core.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Identifies the content of a request, to detect an id that is used for two different requests.
 *
 * @param hex SHA-256 in 64 lower-case hexadecimal digits
 */
public record RequestFingerprint(String hex) {

  private static final int DIGITS = 64;

  /** Checks the number of digits. */
  public RequestFingerprint {
    if (hex.length() != DIGITS) {
      throw new IllegalArgumentException("expected 64 hexadecimal digits but got " + hex.length());
    }
  }

  /**
   * Returns the fingerprint of a statement with its parameters.
   *
   * @param parameters the parameters in order, in any stable encoding; null stands for SQL NULL
   */
  public static RequestFingerprint of(String statement, List<byte[]> parameters) {
    MessageDigest digest = newDigest();
    update(digest, statement.getBytes(StandardCharsets.UTF_8));
    for (byte[] parameter : parameters) {
      update(digest, parameter);
    }
    return new RequestFingerprint(HexFormat.of().formatHex(digest.digest()));
  }

  // The lengths distinguish ("ab", "c") from ("a", "bc"), and -1 distinguishes NULL from an empty
  // value.
  private static void update(MessageDigest digest, byte[] part) {
    int length = part == null ? -1 : part.length;
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
    if (part != null) {
      digest.update(part);
    }
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
