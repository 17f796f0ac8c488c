package org.oleanderstep.proxy.internal.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oleanderstep.core.MonotonicClock;
import org.oleanderstep.core.membership.TrustDecision;
import org.oleanderstep.core.membership.TrustEvidence;
import org.oleanderstep.core.membership.TrustPolicy;
import org.oleanderstep.proxy.internal.traffic.ControlSnapshot;
import org.oleanderstep.proxy.internal.traffic.TrafficPlane;

/**
 * Publishes snapshots of the control state through one volatile reference.
 *
 * <p>A traffic thread that resumes after a pause of the process may read the snapshot before the
 * control thread runs again. Each read of a snapshot that is not recent therefore evaluates trust
 * again, from the evidence recorded with the snapshot and its present age.
 */
final class SnapshotPublisher {

  /** Age up to which the trust decision in a snapshot is used without evaluating it again. */
  private static final long RECENT_NANOS = 100_000_000;

  /** A snapshot with the evidence on which its trust decision is based. */
  private record Published(ControlSnapshot snapshot, TrustEvidence evidence, long takenAt) {}

  private final TrustPolicy policy;
  private final MonotonicClock clock;
  private final List<TrafficPlane> readers = new ArrayList<>();
  private volatile Published published;

  SnapshotPublisher(TrustPolicy policy, MonotonicClock clock, ControlSnapshot initial) {
    this.policy = policy;
    this.clock = clock;
    this.published =
        new Published(
            initial, new TrustEvidence(Optional.empty(), Optional.empty()), clock.nanoTime());
  }

  /** Adds a reader to notify of each new snapshot; call it before the control thread starts. */
  void addReader(TrafficPlane reader) {
    readers.add(reader);
  }

  /** Publishes a snapshot; readers are notified only if it differs from the last one. */
  void publish(ControlSnapshot snapshot, TrustEvidence evidence) {
    ControlSnapshot last = published.snapshot();
    boolean same = snapshot.equals(last);
    published = new Published(same ? last : snapshot, evidence, clock.nanoTime());
    if (!same) {
      readers.forEach(reader -> reader.onSnapshot(snapshot));
    }
  }

  /** Returns the latest snapshot. Thread-safe. */
  ControlSnapshot read() {
    Published last = published;
    long age = clock.nanoTime() - last.takenAt();
    if (age <= RECENT_NANOS || !last.snapshot().trusted()) {
      return last.snapshot();
    }
    TrustDecision decision = policy.decide(aged(last.evidence(), Duration.ofNanos(age)));
    return decision.isTrusted() ? last.snapshot() : untrusted(last.snapshot());
  }

  private static TrustEvidence aged(TrustEvidence evidence, Duration age) {
    return new TrustEvidence(
        evidence.platformContactAge().map(age::plus), evidence.majorityContactAge().map(age::plus));
  }

  private static ControlSnapshot untrusted(ControlSnapshot s) {
    return new ControlSnapshot(
        s.vm(),
        s.instance(),
        s.configuration(),
        s.ready(),
        false,
        s.leaving(),
        s.vmCount(),
        s.groups(),
        s.incarnations(),
        s.databasesToPurge());
  }
}
