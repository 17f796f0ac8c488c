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
 * Publishes snapshots through one volatile reference.
 *
 * <p>A traffic thread that resumes after a pause of the process may read the snapshot before the
 * control thread runs again. Trust is therefore decided anew for each reader whose snapshot is not
 * recent, with the evidence that the snapshot was made from.
 */
final class SnapshotPublisher {

  /** Age up to which the trust stated in a snapshot holds without another decision. */
  private static final long RECENT_NANOS = 100_000_000;

  /** A snapshot with the evidence for its trust. */
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

  /** Adds a reader that is told of each new snapshot; call it before the control thread starts. */
  void addReader(TrafficPlane reader) {
    readers.add(reader);
  }

  /** Publishes a snapshot; readers are told only if it differs from the last one. */
  void publish(ControlSnapshot snapshot, TrustEvidence evidence) {
    ControlSnapshot last = published.snapshot();
    boolean same = snapshot.equals(last);
    published = new Published(same ? last : snapshot, evidence, clock.nanoTime());
    if (!same) {
      readers.forEach(reader -> reader.onSnapshot(snapshot));
    }
  }

  /** Returns the last snapshot; may be called by any thread. */
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
