package org.oleanderstep.core.admission;

/**
 * The answer of a giver.
 *
 * @param amount tokens that the giver deducted for the receiver
 * @param remaining tokens that the giver has left
 */
public record TransferReply(double amount, double remaining) {

  /** Answer of a giver that has nothing to give. */
  public static final TransferReply NOTHING = new TransferReply(0, 0);
}
