package org.oleanderstep.core.membership;

/** A decision of {@link TrustPolicy} with its reason. */
public record TrustDecision(Trust trust, TrustReason reason) {

  static TrustDecision trusted(TrustReason reason) {
    return new TrustDecision(Trust.TRUSTED, reason);
  }

  static TrustDecision untrusted(TrustReason reason) {
    return new TrustDecision(Trust.UNTRUSTED, reason);
  }

  public boolean isTrusted() {
    return trust == Trust.TRUSTED;
  }
}
