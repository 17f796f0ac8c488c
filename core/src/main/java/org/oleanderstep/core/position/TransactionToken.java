package org.oleanderstep.core.position;

import org.oleanderstep.core.model.VmId;

/**
 * The open transaction of a session.
 *
 * @param vm VM of the proxy that holds the transaction
 * @param instance random for each start of that proxy
 * @param number number of the transaction within the instance
 */
public record TransactionToken(VmId vm, String instance, long number) {

  /** Checks the parts. */
  public TransactionToken {
    if (instance.isBlank()) {
      throw new IllegalArgumentException("the instance must not be blank");
    }
    if (number < 0) {
      throw new IllegalArgumentException("the number must not be negative: " + number);
    }
  }
}
