package org.oleanderstep.core.admission;

import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;

/** Sends token messages to the other VMs. Messages may be lost, delayed or duplicated. */
public interface TokenLenders {

  /** Sends a token request; the reply is passed to {@link TokenQueues#onReply}. */
  void ask(TokenBorrower.LoanRequest ask);

  /** Confirms to the lender that its tokens have arrived. */
  void confirm(TokenBorrower.LoanRequest ask);

  /**
   * Confirms to the lender that its tokens have arrived, and gives back those that are not used.
   *
   * @param unused number of tokens that are given back, above zero
   */
  void giveBack(TokenBorrower.LoanRequest ask, int unused);

  /** Gives an unused token back to a VM that has a share of the organisation's rate. */
  void giveBack(VmId lender, OrganisationId organisation);
}
