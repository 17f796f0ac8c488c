package org.oleanderstep.load;

import com.google.protobuf.util.Durations;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.SQLException;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.oleanderstep.load.fault.FaultInjector;
import org.oleanderstep.load.fault.InjectedFault;
import org.oleanderstep.load.fleet.DeclarationFiles;
import org.oleanderstep.load.fleet.Fleet;
import org.oleanderstep.load.fleet.FleetSpec;
import org.oleanderstep.load.history.HistoryFile;
import org.oleanderstep.load.history.Recorder;
import org.oleanderstep.load.report.Judge;
import org.oleanderstep.load.report.Verdict;
import org.oleanderstep.load.workload.Workload;
import org.oleanderstep.schema.v1.Declarations;
import org.oleanderstep.schema.v1.Member;
import org.oleanderstep.schema.v1.Scenario;

/**
 * Runs one scenario on a fleet of its own and judges it.
 *
 * <pre>{@code
 * Verdict verdict = Experiment.load(Path.of("failover.json")).run(directory);
 * System.out.print(verdict.toText());
 * }</pre>
 */
public final class Experiment {

  private final Scenario scenario;
  private final Declarations declarations;

  private Experiment(Scenario scenario, Declarations declarations) {
    this.scenario = scenario;
    this.declarations = declarations;
  }

  /**
   * Reads a scenario and the declared objects that it names.
   *
   * @throws IOException if a file can't be read or has unknown fields
   */
  public static Experiment load(Path file) throws IOException {
    Scenario.Builder scenario = Scenario.newBuilder();
    JsonFormat.parser().merge(Files.readString(file), scenario);
    Declarations.Builder declarations = Declarations.newBuilder();
    for (String directory : scenario.getDeclarationsList()) {
      declarations.mergeFrom(DeclarationFiles.read(file.resolveSibling(directory)));
    }
    return of(scenario.build(), declarations.build());
  }

  /** Creates an experiment from a scenario and declared objects. */
  public static Experiment of(Scenario scenario, Declarations declarations) {
    return new Experiment(scenario, DeclaredSubset.of(declarations, scenario.getDatabasesList()));
  }

  /** Returns the seed from which load and faults are drawn. */
  public long seed() {
    return scenario.getSeed();
  }

  /** Returns the same experiment with another seed. */
  public Experiment withSeed(long seed) {
    return new Experiment(scenario.toBuilder().setSeed(seed).build(), declarations);
  }

  /**
   * Runs the scenario; all processes have ended when this returns.
   *
   * @param directory empty directory for settings, logs and the history
   * @throws IOException if the fleet can't be started or read
   * @throws SQLException if the load can't be prepared
   */
  public Verdict run(Path directory) throws IOException, InterruptedException, SQLException {
    RandomGenerator random =
        RandomGeneratorFactory.of("L64X128MixRandom").create(scenario.getSeed());
    Files.createDirectories(directory);
    try (Fleet fleet = Fleet.start(spec(directory), random)) {
      Recorder recorder = new Recorder(System::nanoTime);
      Workload load = Workload.prepare(fleet, scenario, recorder, random);
      List<InjectedFault> faults = runLoad(fleet, load, recorder);
      HistoryFile.write(directory.resolve("history.jsonl"), recorder.operations());
      return new Judge(fleet, scenario).judge(recorder.operations(), faults);
    }
  }

  private List<InjectedFault> runLoad(Fleet fleet, Workload load, Recorder recorder)
      throws IOException, InterruptedException {
    try (FaultInjector injector = new FaultInjector(fleet, recorder)) {
      load.start();
      Duration warmUp = Duration.ofMillis(Durations.toMillis(scenario.getWarmUp()));
      injector.schedule(scenario.getFaultsList(), warmUp);
      if (!load.await(Judge.length(scenario))) {
        throw new IOException("a session still waits for an answer a minute after the load ended");
      }
      return injector.finish();
    }
  }

  private FleetSpec spec(Path directory) {
    List<String> domains =
        declarations.getServicesList().stream()
            .flatMap(service -> service.getDatabasesList().stream())
            .flatMap(database -> database.getMembersList().stream())
            .map(Member::getFailureDomain)
            .distinct()
            .sorted()
            .toList();
    Duration lag = Duration.ofNanos(Durations.toNanos(scenario.getApplyLag()));
    return new FleetSpec(declarations, scenario.getProxies(), lag, directory, domains);
  }
}
