package org.oleanderstep.client.internal;

import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Ids of the calls of one connection: a random prefix and a sequence number. Not thread-safe.
 *
 * <p>Nobody else can know the prefix, so a response with an id of this object was written for one
 * of its calls.
 */
final class CallIds {

  private static final SecureRandom RANDOM = new SecureRandom();

  private final String prefix = HexFormat.of().toHexDigits(RANDOM.nextLong()) + "-";
  private long lastNumber;

  /** Returns the id of the next call. */
  String next() {
    lastNumber++;
    return prefix + lastNumber;
  }

  /** Returns whether an id is that of the latest call. */
  boolean isLatest(String id) {
    return id.equals(prefix + lastNumber);
  }

  /** Returns whether an id is that of a call before the latest one. */
  boolean isEarlier(String id) {
    if (!id.startsWith(prefix)) {
      return false;
    }
    try {
      long number = Long.parseLong(id, prefix.length(), id.length(), 10);
      return number > 0 && number < lastNumber;
    } catch (NumberFormatException e) {
      return false;
    }
  }
}
