package org.oleanderstep.gateway.session;

import org.oleanderstep.core.admission.TokenBorrower;

/** The other VMs, as lenders of tokens. What is sent may be lost, delayed or doubled. */
public interface TokenLenders {

  /** Sends a request; the reply goes to {@link AdmissionQueues#onReply}. */
  void ask(TokenBorrower.LoanRequest ask);

  /** Tells the lender that its tokens have come. */
  void confirm(TokenBorrower.LoanRequest ask);
}
