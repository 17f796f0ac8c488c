package org.oleanderstep.core.position;

import org.oleanderstep.core.model.VmId;

/**
 * Identifies the open transaction of a session.
 *
 * @param vm VM of the proxy that holds the transaction
 * @param instance instance of that proxy, a random value for each start
 * @param number number of the transaction within the instance
 */
public record TransactionToken(VmId vm, String instance, long number) {

  /** Checks that the instance is not blank and the number not negative. */
  public TransactionToken {
    if (instance.isBlank()) {
      throw new IllegalArgumentException("instance must not be blank");
    }
    if (number < 0) {
      throw new IllegalArgumentException("number must not be negative: " + number);
    }
  }
}
