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

/** Counters and timers of the traffic plane. */
public final class TrafficMetrics {

  /**
   * What a request waited for before it got its connection; the lower-case names are values of the
   * metric tag {@code for}.
   */
  public enum WaitReason {
    QUEUE,
    REPLICA,
    PRIMARY,
    PROOF
  }

  private final Timer served;
  private final Counter failed;
  private final Counter unknown;
  private final Map<NotRunReason, Counter> refused = new EnumMap<>(NotRunReason.class);
  private final Map<WaitReason, Timer> waits = new EnumMap<>(WaitReason.class);
  private final Counter primaryReads;
  private final Counter replicaReads;
  private final Counter recordRetry;

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
    for (WaitReason wait : WaitReason.values()) {
      waits.put(
          wait,
          Timer.builder("oleanderstep.requests.wait")
              .tag("for", wait.name().toLowerCase(Locale.ROOT))
              .register(registry));
    }
    primaryReads = readCounter(registry, "primary");
    replicaReads = readCounter(registry, "replica");
    recordRetry = Counter.builder("oleanderstep.requests.repeated").register(registry);
  }

  private static Counter readCounter(MeterRegistry registry, String role) {
    return Counter.builder("oleanderstep.reads").tag("role", role).register(registry);
  }

  /** Records how long a request waited for its connection. */
  public void recordWait(WaitReason wait, Duration time) {
    waits.get(wait).record(time);
  }

  /** Counts a read by the role of the member that served it. */
  public void recordRead(boolean byPrimary) {
    (byPrimary ? primaryReads : replicaReads).increment();
  }

  /** Counts a request that the proxy itself retried. */
  public void recordRetry() {
    recordRetry.increment();
  }

  /** Records the outcome of a request; the time is recorded only for served requests. */
  public void recordOutcome(Outcome outcome, Duration time) {
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
