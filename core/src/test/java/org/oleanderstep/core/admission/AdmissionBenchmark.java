package org.oleanderstep.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.oleanderstep.core.configuration.Organisation;
import org.oleanderstep.core.membership.VmList;
import org.oleanderstep.core.model.OrganisationId;
import org.oleanderstep.core.model.VmId;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Threads;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Time and allocation of the admission of a request whose token is available locally.
 *
 * <p>Run it by hand with the class path of the tests: {@code java -cp ...
 * org.oleanderstep.core.admission.AdmissionBenchmark}.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgs = "-Xmx256m")
public class AdmissionBenchmark {

  private static final int ORGANISATIONS = 8;
  private static final OrganisationId LARGE = new OrganisationId("org-3");
  private static final OrganisationId EMPTY = new OrganisationId("empty");

  private static final long NOW = 0;

  private final VmId vm = new VmId("a");
  private ShareLedger ledger;

  /** Prepares a ledger with more tokens than an iteration takes, at a time that stands still. */
  @Setup(Level.Iteration)
  public void prepare() {
    // Time does not follow the clock here, so the pause rule must not apply.
    AdmissionSettings normal = AdmissionSettings.DEFAULT;
    AdmissionSettings settings =
        new AdmissionSettings(
            normal.maxWait(), normal.replyTimeout(), normal.holdTime(), Duration.ofDays(1_000));
    ledger = new ShareLedger(vm, settings);
    List<Organisation> organisations = new ArrayList<>();
    for (int index = 0; index < ORGANISATIONS; index++) {
      organisations.add(new Organisation("org-" + index, 1e7, 1e8));
    }
    organisations.add(new Organisation("empty", 0, 1));
    long start = -100_000_000_000L;
    ledger.onOrganisations(1, organisations, start);
    ShareTable table = ShareTablePlanner.first(new VmList(1, Set.of(vm), Set.of()), "p1");
    confirm(ledger.onTick(start), table, start);
    // Slots become usable at the first tick after the hold time; the tokens accrue from then on.
    ledger.onTick(start + 2 * normal.holdTime().toNanos());
    ledger.onTick(NOW);
  }

  private void confirm(List<AdmissionAction> actions, ShareTable table, long now) {
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.ConfirmShares confirm) {
        ledger.onSharesConfirmed(confirm.confirmationId(), table, now);
      }
    }
  }

  /** One thread asks for a token that is there. */
  @Benchmark
  @Threads(1)
  public void local() {
    acquire();
  }

  /** Four threads ask for tokens of the same organisation. */
  @Benchmark
  @Threads(4)
  public void localContended() {
    acquire();
  }

  // A refusal is faster, so it must not be measured as an admission.
  private void acquire() {
    if (!ledger.tryAcquire(LARGE, NOW)) {
      throw new IllegalStateException("no token was available locally");
    }
  }

  /** One thread asks for a token that is not there. */
  @Benchmark
  @Threads(1)
  public boolean refused() {
    return ledger.tryAcquire(EMPTY, NOW);
  }

  /** Runs the benchmarks with the allocation profiler. */
  public static void main(String[] args) throws RunnerException {
    new Runner(
            new OptionsBuilder()
                .include(AdmissionBenchmark.class.getSimpleName())
                .addProfiler(GCProfiler.class)
                .build())
        .run();
  }
}
