package org.oleanderstep.gateway.session;

import org.oleanderstep.core.admission.TokenBorrower;

/** Sends token messages to the other VMs. Messages may be lost, delayed or duplicated. */
public interface TokenLenders {

  /** Sends a token request; the reply is passed to {@link AdmissionQueues#onReply}. */
  void ask(TokenBorrower.LoanRequest ask);

  /** Confirms to the lender that its tokens have arrived. */
  void confirm(TokenBorrower.LoanRequest ask);
}
