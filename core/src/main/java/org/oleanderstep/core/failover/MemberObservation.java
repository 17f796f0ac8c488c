package org.oleanderstep.core.failover;

import java.util.Optional;
import org.oleanderstep.core.model.MemberId;

/** The last status received from one member, with the time of receipt. */
final class MemberObservation {

  private final MemberId id;
  private MemberStatus status;
  private long receivedNanos;

  MemberObservation(MemberId id) {
    this.id = id;
  }

  MemberId id() {
    return id;
  }

  void update(MemberStatus newStatus, long nowNanos) {
    status = newStatus;
    receivedNanos = nowNanos;
  }

  void clear() {
    status = null;
  }

  /** Returns the last status; empty if it is older than the limit or was cleared. */
  Optional<MemberStatus> freshStatus(long nowNanos, long limitNanos) {
    boolean isFresh = status != null && nowNanos - receivedNanos <= limitNanos;
    return isFresh ? Optional.of(status) : Optional.empty();
  }
}
