package org.oleanderstep.gateway.target;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counts replies of members that belong to no command; holds the metrics of the queue. */
public final class TargetMetrics {

  private static final String METER = "oleanderstep.target.surplus.replies";
  private static final String TAG = "kind";

  private final Counter repeated;
  private final Counter contradictory;
  private final QueueMetrics queue;

  /** Registers the meters. */
  public TargetMetrics(MeterRegistry registry) {
    repeated = registry.counter(METER, TAG, "repeated");
    contradictory = registry.counter(METER, TAG, "contradictory");
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
}
