package org.oleanderstep.load.report;

import static java.util.stream.Collectors.groupingBy;

import com.google.protobuf.util.Durations;
import java.io.IOException;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.oleanderstep.load.check.AnswerCheck;
import org.oleanderstep.load.check.CounterCheck;
import org.oleanderstep.load.check.FinalState;
import org.oleanderstep.load.check.HistoryCheck;
import org.oleanderstep.load.check.OrderCheck;
import org.oleanderstep.load.check.RateCheck;
import org.oleanderstep.load.check.TransferCheck;
import org.oleanderstep.load.check.Violation;
import org.oleanderstep.load.fault.InjectedFault;
import org.oleanderstep.load.fleet.Fleet;
import org.oleanderstep.load.fleet.TargetAccount;
import org.oleanderstep.load.workload.Tables;
import org.oleanderstep.schema.v1.Fault;
import org.oleanderstep.schema.v1.Operation;
import org.oleanderstep.schema.v1.Organisation;
import org.oleanderstep.schema.v1.OrganisationLoad;
import org.oleanderstep.schema.v1.PlatformStats;
import org.oleanderstep.schema.v1.Scenario;

/** Judges the history of a run against the invariants and computes its measures. */
public final class Judge {

  private static final Duration SETTLE_LIMIT = Duration.ofSeconds(15);
  private static final Duration SETTLE_POLL = Duration.ofMillis(100);
  private static final String OVER_RATE = "53400";
  // Statements of one operation that count against the rate; commit and roll-back do not.
  private static final int TRANSFER_STATEMENTS = 2;

  private static final List<HistoryCheck> CHECKS =
      List.of(
          new OrderCheck(), new CounterCheck(), new TransferCheck(Tables.TOTAL), new AnswerCheck());

  private final Fleet fleet;
  private final Scenario scenario;

  /** Creates the judge of a run on a fleet that still runs. */
  public Judge(Fleet fleet, Scenario scenario) {
    this.fleet = fleet;
    this.scenario = scenario;
  }

  /**
   * Judges a finished run.
   *
   * @throws IOException if a database has no primary that can be read
   */
  public Verdict judge(List<Operation> operations, List<InjectedFault> faults)
      throws IOException, InterruptedException {
    Map<String, List<Operation>> byDatabase =
        operations.stream().collect(groupingBy(o -> o.getService() + "/" + o.getDatabase()));
    List<Violation> violations = new ArrayList<>();
    for (String database : fleet.databases()) {
      List<Operation> own = byDatabase.getOrDefault(database, List.of());
      FinalState state = finalState(database);
      CHECKS.forEach(check -> violations.addAll(check.check(own, state)));
    }
    violations.addAll(checkRates(operations));
    return new Verdict(
        scenario.getName(),
        scenario.getSeed(),
        violations,
        countResults(operations),
        new ProxyCounters().reads(fleet),
        gaps(byDatabase, faults),
        organisations(operations),
        platformCalls());
  }

  // The driver's last calls may still be running on a member when the last session has ended.
  private FinalState finalState(String database) throws IOException, InterruptedException {
    long limit = System.nanoTime() + SETTLE_LIMIT.toNanos();
    IOException last = new IOException(database + " has no primary");
    while (System.nanoTime() < limit) {
      try {
        return readPrimary(database);
      } catch (SQLException | IOException e) {
        last = new IOException(database + " can't be read: " + e.getMessage(), e);
      }
      Thread.sleep(SETTLE_POLL.toMillis());
    }
    throw last;
  }

  private FinalState readPrimary(String database) throws SQLException, IOException {
    String primary =
        fleet
            .group(database)
            .primary()
            .orElseThrow(() -> new IOException(database + " has no primary"));
    String url =
        "jdbc:avatica:remote:url=http://"
            + fleet.group(database).sqlAddress(primary)
            + ";serialization=protobuf;authentication=BASIC";
    Properties account = new Properties();
    account.setProperty("avatica_user", TargetAccount.USER);
    account.setProperty("avatica_password", TargetAccount.PASSWORD);
    try (Connection connection = DriverManager.getConnection(url, account)) {
      return Tables.read(connection);
    }
  }

  private List<Violation> checkRates(List<Operation> operations) {
    Map<String, List<Operation>> byOrganisation =
        operations.stream()
            .filter(o -> o.getResult() == Operation.Result.SERVED)
            .collect(groupingBy(Operation::getOrganisation));
    List<Violation> violations = new ArrayList<>();
    for (Organisation organisation : fleet.declarations().getOrganisationsList()) {
      List<RateCheck.Statement> statements =
          byOrganisation.getOrDefault(organisation.getName(), List.of()).stream()
              .map(Judge::statement)
              .toList();
      new RateCheck(organisation.getRatePerSecond(), organisation.getBurst())
          .check(organisation.getName(), statements)
          .ifPresent(violations::add);
    }
    return violations;
  }

  private static RateCheck.Statement statement(Operation operation) {
    return new RateCheck.Statement(
        operation.getStartNs(), operation.getEndNs(), statementsOf(operation.getType()));
  }

  private static int statementsOf(Operation.Type type) {
    return type == Operation.Type.TRANSFER ? TRANSFER_STATEMENTS : 1;
  }

  private static Map<String, Long> countResults(List<Operation> operations) {
    Map<String, Long> counts = new TreeMap<>();
    for (Operation operation : operations) {
      String result = operation.getResult().name();
      String key =
          operation.getSqlState().isEmpty() ? result : result + " " + operation.getSqlState();
      counts.merge(key, 1L, Long::sum);
    }
    return counts;
  }

  private static Map<String, Long> gaps(
      Map<String, List<Operation>> byDatabase, List<InjectedFault> faults) {
    Map<String, Long> gaps = new TreeMap<>();
    for (InjectedFault injected : faults) {
      String subject = injected.fault().getSubject();
      if (subject.startsWith("primary/") && injected.fault().getKind() != Fault.Kind.LAG) {
        String database = subject.substring("primary/".length());
        long gap =
            FailoverGap.afterFault(byDatabase.getOrDefault(database, List.of()), injected.atNs())
                .orElse(Long.MAX_VALUE);
        gaps.merge(database, gap / 1_000_000, Math::max);
      }
    }
    return gaps;
  }

  private List<OrganisationResult> organisations(List<Operation> operations) {
    Map<String, List<Operation>> byOrganisation =
        operations.stream().collect(groupingBy(Operation::getOrganisation));
    List<OrganisationResult> results = new ArrayList<>();
    for (OrganisationLoad load : scenario.getLoadsList()) {
      List<Operation> own = byOrganisation.getOrDefault(load.getOrganisation(), List.of());
      results.add(organisation(load, own));
    }
    return results;
  }

  private OrganisationResult organisation(OrganisationLoad load, List<Operation> operations) {
    Histogram latency = new Histogram(3);
    for (Operation operation : operations) {
      if (operation.getResult() == Operation.Result.SERVED) {
        latency.recordValue((operation.getEndNs() - operation.getIntendedStartNs()) / 1_000);
      }
    }
    return new OrganisationResult(
        load.getOrganisation(),
        latency.getTotalCount(),
        operations.size(),
        operations.stream().filter(o -> o.getSqlState().equals(OVER_RATE)).count(),
        isInsideRate(load),
        latency.getValueAtPercentile(50),
        latency.getValueAtPercentile(99));
  }

  private boolean isInsideRate(OrganisationLoad load) {
    double statementsPerOperation = 1 + scenario.getTransferShare() * (TRANSFER_STATEMENTS - 1);
    double offered = load.getOperationsPerSecond() * statementsPerOperation;
    return fleet.declarations().getOrganisationsList().stream()
        .filter(organisation -> organisation.getName().equals(load.getOrganisation()))
        .anyMatch(organisation -> offered <= organisation.getRatePerSecond());
  }

  private Verdict.PlatformCalls platformCalls() throws IOException, InterruptedException {
    PlatformStats stats = fleet.platform().stats();
    long total =
        stats.getReads()
            + stats.getUpdates()
            + stats.getLists()
            + stats.getWatches()
            + stats.getVmLists();
    return new Verdict.PlatformCalls(total, stats.getWaitingWatches());
  }

  /** Returns how long a scenario runs, warm-up included. */
  public static Duration length(Scenario scenario) {
    long nanos =
        Durations.toNanos(scenario.getWarmUp()) + Durations.toNanos(scenario.getDuration());
    return Duration.ofNanos(nanos);
  }
}
