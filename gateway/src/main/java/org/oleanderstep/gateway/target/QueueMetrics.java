package org.oleanderstep.gateway.target;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleanderstep.core.scheduling.QueueRefusal;

/**
 * Metrics of the requests that wait for connections, by priority over all services. Record only
 * from the traffic thread; meters may be read from any thread.
 */
final class QueueMetrics {

  private static final String PRIORITY = "priority";

  private final MeterRegistry registry;
  private final Map<Integer, AtomicInteger> lengths = new HashMap<>();

  /** Registers meters as they are needed, so that none exists while the queue isn't in use. */
  QueueMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  private AtomicInteger length(int priority) {
    return lengths.computeIfAbsent(
        priority,
        p -> {
          AtomicInteger length = new AtomicInteger();
          registry.gauge(
              "oleanderstep.queue.length", Tags.of(PRIORITY, Integer.toString(p)), length);
          return length;
        });
  }

  void onWaiting(int priority) {
    length(priority).incrementAndGet();
  }

  void onLeft(int priority) {
    length(priority).decrementAndGet();
  }

  void recordWait(int priority, long nanos) {
    registry
        .timer("oleanderstep.queue.wait", PRIORITY, Integer.toString(priority))
        .record(Duration.ofNanos(nanos));
  }

  void recordRefusal(int priority, QueueRefusal.Reason reason) {
    registry.counter(meter(reason), PRIORITY, Integer.toString(priority)).increment();
  }

  private static String meter(QueueRefusal.Reason reason) {
    return switch (reason) {
      case ON_ARRIVAL -> "oleanderstep.queue.refused.on.arrival";
      case ESTIMATE_ROSE -> "oleanderstep.queue.refused.while.waiting";
      case SHED -> "oleanderstep.queue.shed";
      case NO_MEMBER -> "oleanderstep.queue.refused.without.member";
      case EXPIRED -> "oleanderstep.queue.expired";
    };
  }
}
