package org.oleanderstep.core.admission;

/**
 * The reply of a donor to a {@link TransferRequest}.
 *
 * @param amount tokens that the donor deducted for the receiver
 * @param remaining tokens that the donor has left
 */
public record TransferReply(double amount, double remaining) {

  /** Reply of a donor that transfers nothing and reports no tokens left. */
  public static final TransferReply NOTHING = new TransferReply(0, 0);
}
