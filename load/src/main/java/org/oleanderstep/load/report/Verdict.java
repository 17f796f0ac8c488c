package org.oleanderstep.load.report;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import org.oleanderstep.load.check.Violation;

/**
 * The result of a run.
 *
 * @param violations invariants that did not hold
 * @param results number of operations by result
 * @param replicaReads reads served by replicas and by primaries, as the proxies count them
 * @param failoverGapsMillis gap of each database whose primary was lost
 */
public record Verdict(
    String scenario,
    long seed,
    List<Violation> violations,
    Map<String, Long> results,
    ReadCounts replicaReads,
    Map<String, Long> failoverGapsMillis,
    List<OrganisationResult> organisations,
    PlatformCalls platformCalls) {

  /** Bound of the failover gap in docs/design.md. */
  public static final long FAILOVER_BOUND_MILLIS = 8_000;

  private static final int MAX_VIOLATIONS_SHOWN = 20;

  /** Reads by the role of the member that served them. */
  public record ReadCounts(long byReplica, long byPrimary) {

    /** Returns the share of reads served by replicas, empty without reads. */
    public OptionalDouble replicaShare() {
      long all = byReplica + byPrimary;
      return all == 0 ? OptionalDouble.empty() : OptionalDouble.of((double) byReplica / all);
    }
  }

  /** Calls at the platform during the run, and watches that waited at its end. */
  public record PlatformCalls(long total, long waitingWatches) {}

  /** Copies all collections. */
  public Verdict {
    violations = List.copyOf(violations);
    results = Map.copyOf(results);
    failoverGapsMillis = Map.copyOf(failoverGapsMillis);
    organisations = List.copyOf(organisations);
  }

  /**
   * Returns whether every organisation was served, every invariant held and every failover was
   * within its bound. A run that served nobody shows nothing.
   */
  public boolean passed() {
    boolean servedAll =
        !organisations.isEmpty() && organisations.stream().allMatch(o -> o.served() > 0);
    boolean inTime =
        failoverGapsMillis.values().stream().allMatch(gap -> gap <= FAILOVER_BOUND_MILLIS);
    return servedAll && violations.isEmpty() && inTime;
  }

  /** Returns the verdict as lines of text for operators. */
  public String toText() {
    StringBuilder text = new StringBuilder();
    text.append(line("scenario %s, seed %d", scenario, seed));
    text.append(line("operations: %s", results));
    String share =
        replicaReads.replicaShare().isPresent()
            ? String.format(Locale.ROOT, "%.1f%%", 100 * replicaReads.replicaShare().getAsDouble())
            : "no reads";
    text.append(line("M1 share of reads served by replicas: %s", share));
    failoverGapsMillis.forEach(
        (database, gap) -> text.append(line("M2 failover gap of %s: %d ms", database, gap)));
    organisations.stream()
        .filter(OrganisationResult::insideRate)
        .min((a, b) -> Double.compare(a.servedShare(), b.servedShare()))
        .ifPresent(worst -> text.append(worstServed(worst)));
    text.append(refusals());
    text.append(
        line(
            "platform: %d calls, %d waiting watches at the end",
            platformCalls.total(), platformCalls.waitingWatches()));
    violations.stream()
        .limit(MAX_VIOLATIONS_SHOWN)
        .forEach(v -> text.append(line("VIOLATED %s", v)));
    text.append(line("%s: %d violations", passed() ? "PASSED" : "FAILED", violations.size()));
    return text.toString();
  }

  private static String worstServed(OrganisationResult worst) {
    return line(
        "M3 worst-served organisation inside its rate: %s, %.2f%% of %d served, p50 %d us, p99 %d us",
        worst.organisation(),
        100 * worst.servedShare(),
        worst.attempted(),
        worst.p50Micros(),
        worst.p99Micros());
  }

  private String refusals() {
    List<OrganisationResult> inside =
        organisations.stream().filter(OrganisationResult::insideRate).toList();
    long refused = inside.stream().mapToLong(OrganisationResult::overRate).sum();
    long attempted = inside.stream().mapToLong(OrganisationResult::attempted).sum();
    double percent = attempted == 0 ? 0 : 100.0 * refused / attempted;
    return line("M4 refused inside the rate: %d of %d (%.3f%%)", refused, attempted, percent);
  }

  private static String line(String format, Object... arguments) {
    return String.format(Locale.ROOT, format, arguments) + "\n";
  }
}
