package org.oleanderstep.gateway.target;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.AtomicInteger;

/** Metrics of the connections to members; record only from the traffic thread. */
public final class TargetMetrics {

  private static final String METER = "oleanderstep.target.surplus.replies";
  private static final String TAG = "kind";

  private final Counter repeated;
  private final Counter contradictory;
  private final Counter evacuatedConnections;
  private final Counter coldDeferrals;
  private final AtomicInteger evacuatedMembers = new AtomicInteger();

  /** Registers the meters. */
  public TargetMetrics(MeterRegistry registry) {
    repeated = registry.counter(METER, TAG, "repeated");
    contradictory = registry.counter(METER, TAG, "contradictory");
    evacuatedConnections = registry.counter("oleanderstep.evacuation.closed.connections");
    coldDeferrals = registry.counter("oleanderstep.cold.deferrals");
    registry.gauge("oleanderstep.evacuation.members", evacuatedMembers);
  }

  void recordRepeatedReply() {
    repeated.increment();
  }

  void recordContradictoryReply() {
    contradictory.increment();
  }

  /** Records a connection that was closed because its member is evacuated. */
  void recordEvacuatedConnection() {
    evacuatedConnections.increment();
  }

  /** Records that a request went elsewhere or waited, because a cold member has its share. */
  void recordColdDeferral() {
    coldDeferrals.increment();
  }

  /** Records the number of members to which nothing is sent because of an evacuation. */
  public void recordEvacuatedMembers(int members) {
    evacuatedMembers.set(members);
  }
}
