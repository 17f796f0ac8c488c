package org.oleanderstep.core.admission;

import org.oleanderstep.core.model.OrganisationId;

/** Receives what an operator needs to know of the rates on one VM. Each method does nothing. */
public interface AdmissionListener {

  /** Called with each operation that arrives. */
  default void onRequested(OrganisationId organisation) {}

  /** Called with each operation that has got a token. */
  default void onAdmitted(OrganisationId organisation) {}

  /** Called with each operation that could not get a token in time. */
  default void onRefused(OrganisationId organisation) {}

  /** Called with the number of tokens that another VM has lent to this one. */
  default void onBorrowed(int tokens) {}

  /** Called with the number of tokens that this VM has lent to another one. */
  default void onLent(int tokens) {}

  /** Called with each token request that is sent to another VM. */
  default void onTokenRequest() {}

  /** Called with each reply of another VM that lends nothing. */
  default void onNoneLent() {}

  /** Called with each token request that was not answered in time. */
  default void onUnanswered() {}
}
