package org.oleanderstep.gateway.session;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.gateway.target.TargetMetrics;

/**
 * Metrics of statements. Record only from the traffic thread; meters may be read from any thread.
 */
public final class SessionMetrics {

  private static final Duration[] LATENCY_BUCKETS = {
    Duration.ofMillis(5),
    Duration.ofMillis(20),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(400),
    Duration.ofMillis(800),
    Duration.ofSeconds(2)
  };

  private final MeterRegistry registry;
  private final Map<String, Counter> outcomes = new HashMap<>();
  private final Timer latency;
  private final Map<OperationTime.Part, Timer> parts = new EnumMap<>(OperationTime.Part.class);
  private final Counter retries;
  private final Counter retriesDenied;
  private final Counter borrowed;
  private final Counter lent;
  private final Counter tokenRequests;
  private final Counter noneLent;
  private final Counter unanswered;
  private final Map<OrganisationId, Counter> admitted = new HashMap<>();
  private final Map<OrganisationId, Counter> refused = new HashMap<>();
  private final TargetMetrics targets;

  /** Registers the meters. */
  public SessionMetrics(MeterRegistry registry) {
    this.registry = registry;
    latency =
        Timer.builder("oleanderstep.statement.latency")
            .serviceLevelObjectives(LATENCY_BUCKETS)
            .register(registry);
    for (OperationTime.Part part : OperationTime.Part.values()) {
      parts.put(part, registry.timer("oleanderstep.statement.part", "part", part.tag()));
    }
    retries = registry.counter("oleanderstep.statement.retries");
    retriesDenied = registry.counter("oleanderstep.statement.retries.denied");
    borrowed = registry.counter("oleanderstep.tokens.borrowed");
    lent = registry.counter("oleanderstep.tokens.lent");
    tokenRequests = registry.counter("oleanderstep.tokens.requests");
    noneLent = registry.counter("oleanderstep.tokens.requests.none");
    unanswered = registry.counter("oleanderstep.tokens.requests.unanswered");
    targets = new TargetMetrics(registry);
  }

  /** Returns the metrics of connections to members. */
  public TargetMetrics targets() {
    return targets;
  }

  void recordAnswer(Answer answer, long tookNanos) {
    String outcome = answer instanceof Answer.Failure failure ? failure.code().name() : "SUCCESS";
    outcomes
        .computeIfAbsent(outcome, o -> registry.counter("oleanderstep.statements", "outcome", o))
        .increment();
    latency.record(Duration.ofNanos(tookNanos));
  }

  /** Records the time of a statement by part; a part that took no time counts as well. */
  void recordParts(OperationTime time) {
    parts.forEach((part, timer) -> timer.record(time.in(part)));
  }

  void recordBorrowed(int tokens) {
    borrowed.increment(tokens);
  }

  void recordLent(int tokens) {
    lent.increment(tokens);
  }

  void recordAdmitted(OrganisationId organisation) {
    admitted.computeIfAbsent(organisation, each -> rateCounter(each, "admitted")).increment();
  }

  void recordRefused(OrganisationId organisation) {
    refused.computeIfAbsent(organisation, each -> rateCounter(each, "refused")).increment();
  }

  private Counter rateCounter(OrganisationId organisation, String outcome) {
    return registry.counter(
        "oleanderstep.rate.operations", "organisation", organisation.name(), "outcome", outcome);
  }

  void recordTokenRequest() {
    tokenRequests.increment();
  }

  void recordNoneLent() {
    noneLent.increment();
  }

  void recordUnanswered() {
    unanswered.increment();
  }

  void recordRetryDenied() {
    retriesDenied.increment();
  }

  void recordRetry() {
    retries.increment();
  }
}
