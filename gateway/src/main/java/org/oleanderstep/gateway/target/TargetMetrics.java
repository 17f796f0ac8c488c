package org.oleanderstep.gateway.target;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;

/** Metrics of the members of all services; record only from the traffic thread. */
public final class TargetMetrics {

  private static final String METER = "oleanderstep.target.surplus.replies";
  private static final String TAG = "kind";

  private static final String MEMBER_METER = "oleanderstep.member.";

  private final MeterRegistry registry;
  private final Counter repeated;
  private final Counter contradictory;
  private final Counter evacuatedConnections;
  private final Counter coldDeferrals;
  private final AtomicInteger evacuatedMembers = new AtomicInteger();
  private final QueueMetrics queue;

  /** Registers the meters. */
  public TargetMetrics(MeterRegistry registry) {
    this.registry = registry;
    repeated = registry.counter(METER, TAG, "repeated");
    contradictory = registry.counter(METER, TAG, "contradictory");
    evacuatedConnections = registry.counter("oleanderstep.evacuation.closed.connections");
    coldDeferrals = registry.counter("oleanderstep.cold.deferrals");
    registry.gauge("oleanderstep.evacuation.members", evacuatedMembers);
    queue = new QueueMetrics(registry);
  }

  QueueMetrics queue() {
    return queue;
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

  /** Registers the gauges of a member. */
  MemberGauges registerMember(String service, String member) {
    return new MemberGauges(service, member);
  }

  /** The gauges of one member. Update from the traffic thread; they are read from any thread. */
  final class MemberGauges {

    private final List<Meter> meters;
    private volatile double expectedMillis;
    private volatile double inFlight;
    private volatile boolean ejected;

    private MemberGauges(String service, String member) {
      meters =
          List.of(
              register("expected.milliseconds", service, member, g -> g.expectedMillis),
              register("statements", service, member, g -> g.inFlight),
              register("ejected", service, member, g -> g.ejected ? 1 : 0));
    }

    private Gauge register(
        String name, String service, String member, ToDoubleFunction<MemberGauges> value) {
      return Gauge.builder(MEMBER_METER + name, this, value)
          .tags("service", service, "member", member)
          .register(registry);
    }

    void update(double newExpectedMillis, int newInFlight, boolean nowEjected) {
      expectedMillis = newExpectedMillis;
      inFlight = newInFlight;
      ejected = nowEjected;
    }

    /** Removes the gauges of a member that is gone. */
    void remove() {
      meters.forEach(registry::remove);
    }
  }
}
