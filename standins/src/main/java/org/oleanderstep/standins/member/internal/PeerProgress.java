package org.oleanderstep.standins.member.internal;

/** What a primary knows of a replica; guarded by the lock of {@link ReplicationState}. */
final class PeerProgress {

  private final String name;

  /** Index of the next entry to send. */
  private long nextIndex = 1;

  /** Last entry known to be held by the replica, acknowledged in the primary's term. */
  private long matchedIndex;

  /** Committed index that the replica was told last. */
  private long toldCommitted;

  private long lastSentNanos;
  private long lastAcknowledgedNanos;
  private boolean failing;

  PeerProgress(String name) {
    this.name = name;
  }

  String name() {
    return name;
  }

  long nextIndex() {
    return nextIndex;
  }

  long matchedIndex() {
    return matchedIndex;
  }

  long toldCommitted() {
    return toldCommitted;
  }

  long lastSentNanos() {
    return lastSentNanos;
  }

  /** Returns when the last acknowledged call was sent. */
  long lastAcknowledgedNanos() {
    return lastAcknowledgedNanos;
  }

  boolean failing() {
    return failing;
  }

  /** Starts over for a new term. */
  void reset(long firstIndex, long longAgoNanos) {
    nextIndex = firstIndex;
    matchedIndex = 0;
    toldCommitted = 0;
    lastSentNanos = longAgoNanos;
    lastAcknowledgedNanos = longAgoNanos;
    failing = false;
  }

  void sent(long nowNanos) {
    lastSentNanos = nowNanos;
  }

  void acknowledged(long index, long committedIndex, long sentNanos) {
    matchedIndex = Math.max(matchedIndex, index);
    nextIndex = matchedIndex + 1;
    toldCommitted = committedIndex;
    lastAcknowledgedNanos = sentNanos;
    failing = false;
  }

  /** Steps back to the last entry that the replica may share. */
  void mismatched(long receivedIndex) {
    nextIndex = Math.max(1, Math.min(nextIndex - 1, receivedIndex + 1));
    failing = false;
  }

  void failed() {
    failing = true;
  }
}
