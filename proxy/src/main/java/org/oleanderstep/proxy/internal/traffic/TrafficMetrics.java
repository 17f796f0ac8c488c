package org.oleanderstep.proxy.internal.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.oleanderstep.core.model.NotRunReason;
import org.oleanderstep.core.model.Outcome;

/** Counters and timers of the traffic side. */
public final class TrafficMetrics {

  /** What a request waited for before it got its connection. */
  public enum Wait {
    QUEUE,
    REPLICA,
    PRIMARY,
    PROOF
  }

  private final Timer served;
  private final Counter failed;
  private final Counter unknown;
  private final Map<NotRunReason, Counter> refused = new EnumMap<>(NotRunReason.class);
  private final Map<Wait, Timer> waits = new EnumMap<>(Wait.class);
  private final Counter primaryReads;
  private final Counter replicaReads;
  private final Counter repeated;

  /** Registers the meters. */
  public TrafficMetrics(MeterRegistry registry) {
    served =
        Timer.builder("oleanderstep.requests.served")
            .publishPercentiles(0.5, 0.99, 0.999)
            .register(registry);
    failed = Counter.builder("oleanderstep.requests.failed").register(registry);
    unknown = Counter.builder("oleanderstep.requests.unknown").register(registry);
    for (NotRunReason reason : NotRunReason.values()) {
      refused.put(
          reason,
          Counter.builder("oleanderstep.requests.refused")
              .tag("reason", reason.name().toLowerCase(Locale.ROOT))
              .register(registry));
    }
    for (Wait wait : Wait.values()) {
      waits.put(
          wait,
          Timer.builder("oleanderstep.requests.wait")
              .tag("for", wait.name().toLowerCase(Locale.ROOT))
              .register(registry));
    }
    primaryReads = reads(registry, "primary");
    replicaReads = reads(registry, "replica");
    repeated = Counter.builder("oleanderstep.requests.repeated").register(registry);
  }

  private static Counter reads(MeterRegistry registry, String role) {
    return Counter.builder("oleanderstep.reads").tag("role", role).register(registry);
  }

  /** Counts the time that a request waited for its connection. */
  public void waited(Wait wait, Duration time) {
    waits.get(wait).record(time);
  }

  /** Counts a read. */
  public void read(boolean byPrimary) {
    (byPrimary ? primaryReads : replicaReads).increment();
  }

  /** Counts a request that the proxy itself repeated. */
  public void repeated() {
    repeated.increment();
  }

  /** Counts what became of a request. */
  public void ended(Outcome outcome, Duration time) {
    if (outcome instanceof Outcome.Served) {
      served.record(time);
    } else if (outcome instanceof Outcome.Failed) {
      failed.increment();
    } else if (outcome instanceof Outcome.NotRun notRun) {
      refused.get(notRun.reason()).increment();
    } else {
      unknown.increment();
    }
  }
}
