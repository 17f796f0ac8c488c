package org.oleanderstep.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import org.oleanderstep.core.configuration.Organisation;

/** State of one organisation in a {@link ShareLedger}. */
final class Account {

  /** A request that waits for a token until a time. */
  record Waiter(long requestId, long expiresAt, long deadline) {}

  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private final PeerEstimates estimates = new PeerEstimates();
  private Organisation organisation;
  private double share;
  private double heldForPeers;
  // Places that some holder may still use; the share is the lowest of them.
  private boolean maybeSplit;
  private boolean maybeWhole;
  private volatile boolean waiting;
  private volatile TokenBucket bucket;

  Account(Organisation organisation, long now) {
    this.organisation = organisation;
    this.bucket = TokenBucket.closed(now);
  }

  /** Takes a local token, unless requests wait that came earlier; callable by all threads. */
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

  PeerEstimates estimates() {
    return estimates;
  }

  Deque<Waiter> waiters() {
    return waiters;
  }

  /** Publishes to traffic threads whether requests wait. */
  void updateWaiting() {
    waiting = !waiters.isEmpty();
  }

  boolean maybeSplit() {
    return maybeSplit;
  }

  boolean maybeWhole() {
    return maybeWhole;
  }

  /** Counts both places, as another process may still use either. */
  void addBothPlaces() {
    maybeSplit = true;
    maybeWhole = true;
  }

  /** Adds a place that a newly adopted generation gives the organisation. */
  void addPlace(boolean split) {
    maybeSplit |= split;
    maybeWhole |= !split;
  }

  /** Drops all places but the present one. */
  void settlePlace(boolean split) {
    maybeSplit = split;
    maybeWhole = !split;
  }

  /** Adapts the bucket to another share, rate or burst, and keeps its tokens up to the new cap. */
  void resize(double newShare, long now) {
    share = newShare;
    double tokens = bucket.seal(now);
    double rate = share * organisation.ratePerSecond();
    bucket = rate > 0 ? TokenBucket.of(rate, cap(), tokens, now) : TokenBucket.closed(now);
  }

  double share() {
    return share;
  }

  /** Returns the tokens that may be held, less those that peers may still hold. */
  double cap() {
    return Math.max(0, share * organisation.burst() - heldForPeers);
  }

  /** Deducts tokens for a peer; they count against the cap until the hold ends. */
  boolean giveAway(double amount, long now) {
    if (!bucket.tryTake(amount, now)) {
      return false;
    }
    heldForPeers += amount;
    bucket.setCap(cap(), now);
    return true;
  }

  /** Ends a hold. */
  void endHold(double amount, long now) {
    heldForPeers = Math.max(0, heldForPeers - amount);
    bucket.setCap(cap(), now);
  }
}
