package org.oleanderstep.core.membership;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a proxy may still serve under its configuration.
 *
 * <pre>{@code
 * boolean serve = policy.decide(peerTable.trustInputs(now)).trust() == Trust.TRUSTED;
 * }</pre>
 */
public final class TrustPolicy {

  private final Duration configurationTrust;

  /** Creates a policy that trusts evidence up to an age. */
  public TrustPolicy(Duration configurationTrust) {
    this.configurationTrust = configurationTrust;
  }

  /** Decides on the evidence at hand. */
  public TrustDecision decide(TrustInputs inputs) {
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
