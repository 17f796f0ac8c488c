package org.oleanderstep.standins.member.internal;

import java.util.Objects;

/**
 * The highest term that a member promised and the candidate that it promised it to. The candidate
 * is empty if the member learned the term from its primary.
 */
record Promise(long term, String candidate) {

  Promise {
    if (term < 1) {
      throw new IllegalArgumentException("a promised term starts at 1: " + term);
    }
    Objects.requireNonNull(candidate, "candidate");
  }

  boolean isExactly(long otherTerm, String otherCandidate) {
    return term == otherTerm && !candidate.isEmpty() && candidate.equals(otherCandidate);
  }
}
