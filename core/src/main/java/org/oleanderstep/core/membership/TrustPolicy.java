package org.oleanderstep.core.membership;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether the evidence for the configuration in force is recent enough to serve under it.
 *
 * <pre>{@code
 * boolean serve = policy.decide(peerTable.trustInputs(now)).trust() == Trust.TRUSTED;
 * }</pre>
 */
public final class TrustPolicy {

  private final Duration configurationTrust;

  /**
   * Creates a policy.
   *
   * @param configurationTrust maximum age of evidence that counts
   */
  public TrustPolicy(Duration configurationTrust) {
    this.configurationTrust = configurationTrust;
  }

  public TrustDecision decide(TrustEvidence inputs) {
    if (isRecent(inputs.platformContactAge())) {
      return TrustDecision.trusted(TrustReason.PLATFORM_CONTACT);
    }
    if (isRecent(inputs.majorityContactAge())) {
      return TrustDecision.trusted(TrustReason.MAJORITY_CONTACT);
    }
    boolean never = inputs.platformContactAge().isEmpty() && inputs.majorityContactAge().isEmpty();
    return TrustDecision.untrusted(never ? TrustReason.NEVER_CONFIRMED : TrustReason.ISOLATED);
  }

  private boolean isRecent(Optional<Duration> age) {
    return age.isPresent() && age.get().compareTo(configurationTrust) <= 0;
  }
}
