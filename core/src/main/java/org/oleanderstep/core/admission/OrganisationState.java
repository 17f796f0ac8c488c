package org.oleanderstep.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import org.oleanderstep.core.configuration.Organisation;

/**
 * Admission state of one organisation in a {@link AdmissionController}.
 *
 * <p>{@link #tryTake} is thread-safe; call everything else only from the control thread.
 */
final class OrganisationState {

  /** A request that waits for a token until {@code expiresAt}. */
  record Waiter(long requestId, long expiresAt, long deadline) {}

  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private final PeerTokenEstimates estimates = new PeerTokenEstimates();
  private Organisation organisation;
  private double share;
  private double unconfirmedTokens;
  // The placements that some process may still use. The share is the lowest of them, so that the
  // shares of all processes never add up to more than one.
  private boolean splitPossible;
  private boolean unsplitPossible;
  private volatile boolean waiting;
  private volatile TokenBucket bucket;

  OrganisationState(Organisation organisation, long now) {
    this.organisation = organisation;
    this.bucket = TokenBucket.closed(now);
  }

  /** Takes a local token, unless earlier requests are waiting. */
  boolean tryTake(long now) {
    return !waiting && bucket.tryTake(now);
  }

  Organisation organisation() {
    return organisation;
  }

  void setOrganisation(Organisation changed) {
    organisation = changed;
  }

  TokenBucket bucket() {
    return bucket;
  }

  PeerTokenEstimates estimates() {
    return estimates;
  }

  Deque<Waiter> waiters() {
    return waiters;
  }

  /** Publishes to the traffic threads whether requests are waiting. */
  void updateWaiting() {
    waiting = !waiters.isEmpty();
  }

  boolean splitPossible() {
    return splitPossible;
  }

  boolean unsplitPossible() {
    return unsplitPossible;
  }

  /** Allows for both placements, since another process may still use either of them. */
  void addBothPlacements() {
    splitPossible = true;
    unsplitPossible = true;
  }

  /** Adds the placement that a newly adopted generation gives the organisation. */
  void addPlacement(boolean split) {
    splitPossible |= split;
    unsplitPossible |= !split;
  }

  /** Keeps only the given placement, once no process uses the other one any more. */
  void settlePlacement(boolean split) {
    splitPossible = split;
    unsplitPossible = !split;
  }

  /** Resizes the bucket for a changed share, rate or burst; keeps its tokens up to the new cap. */
  void resize(double newShare, long now) {
    share = newShare;
    double tokens = bucket.seal(now);
    double rate = share * organisation.ratePerSecond();
    bucket = rate > 0 ? TokenBucket.of(rate, cap(), tokens, now) : TokenBucket.closed(now);
  }

  double share() {
    return share;
  }

  /**
   * Returns how many tokens the bucket may hold: the share of the burst less unconfirmed tokens.
   */
  double cap() {
    return Math.max(0, share * organisation.burst() - unconfirmedTokens);
  }

  /** Deducts tokens for a peer; they count against the cap until {@link #endHold}. */
  boolean deductForPeer(double amount, long now) {
    if (!bucket.tryTake(amount, now)) {
      return false;
    }
    unconfirmedTokens += amount;
    bucket.setCap(cap(), now);
    return true;
  }

  /** Stops counting transferred tokens against the cap. */
  void endHold(double amount, long now) {
    unconfirmedTokens = Math.max(0, unconfirmedTokens - amount);
    bucket.setCap(cap(), now);
  }
}
