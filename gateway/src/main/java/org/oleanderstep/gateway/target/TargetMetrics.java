package org.oleanderstep.gateway.target;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Counts replies of members that belong to no command, and shows what was measured of members. */
public final class TargetMetrics {

  private static final String METER = "oleanderstep.target.surplus.replies";
  private static final String TAG = "kind";

  private static final String MEMBER_METER = "oleanderstep.member.";

  private final MeterRegistry registry;
  private final Counter repeated;
  private final Counter contradictory;

  /** Registers the meters. */
  public TargetMetrics(MeterRegistry registry) {
    this.registry = registry;
    repeated = registry.counter(METER, TAG, "repeated");
    contradictory = registry.counter(METER, TAG, "contradictory");
  }

  void recordRepeatedReply() {
    repeated.increment();
  }

  void recordContradictoryReply() {
    contradictory.increment();
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
