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
 * Measures the time and memory allocation of a call that tries to acquire a token locally.
 *
 * <p>Run it manually with the class path of the tests: {@code java -cp ...
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
  private AdmissionController controller;

  /** Prepares a controller with more tokens than an iteration takes, at a fixed time. */
  @Setup(Level.Iteration)
  public void prepare() {
    // The time is fixed here, so the pause limit must not apply.
    AdmissionSettings normal = AdmissionSettings.DEFAULT;
    AdmissionSettings settings =
        new AdmissionSettings(
            normal.maxWait(), normal.replyTimeout(), normal.holdTime(), Duration.ofDays(1_000));
    controller = new AdmissionController(vm, settings);
    List<Organisation> organisations = new ArrayList<>();
    for (int index = 0; index < ORGANISATIONS; index++) {
      organisations.add(new Organisation("org-" + index, 1e7, 1e8));
    }
    organisations.add(new Organisation("empty", 0, 1));
    long start = -100_000_000_000L;
    controller.onOrganisations(1, organisations, start);
    ShareTable table = ShareTablePlanner.first(new VmList(1, Set.of(vm), Set.of()), "p1");
    confirm(controller.onTick(start), table, start);
    // Slots become usable at the first tick after the hold time; the tokens accrue from then on.
    controller.onTick(start + 2 * normal.holdTime().toNanos());
    controller.onTick(NOW);
  }

  private void confirm(List<AdmissionAction> actions, ShareTable table, long now) {
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.ConfirmShares confirm) {
        controller.onSharesConfirmed(confirm.confirmationId(), table, now);
      }
    }
  }

  /** One thread acquires tokens that are available. */
  @Benchmark
  @Threads(1)
  public void local() {
    acquire();
  }

  /** Four threads acquire tokens of the same organisation. */
  @Benchmark
  @Threads(4)
  public void localContended() {
    acquire();
  }

  // A refusal takes less time, so it must not be measured as an admission.
  private void acquire() {
    if (!controller.tryAcquire(LARGE, NOW)) {
      throw new IllegalStateException("no token was available locally");
    }
  }

  /** One thread tries to acquire a token that is not available. */
  @Benchmark
  @Threads(1)
  public boolean refused() {
    return controller.tryAcquire(EMPTY, NOW);
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
