package org.oleanderstep.load.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.SQLException;
import java.util.concurrent.Callable;
import org.oleanderstep.load.Experiment;
import org.oleanderstep.load.report.Verdict;

/** Runs a scenario once, or with several seeds, and prints the verdict of each run. */
@Command(
    name = "run",
    description =
        "Starts a fleet of processes, runs a scenario with its faults and judges the history.")
public final class RunCommand implements Callable<Integer> {

  @Arguments(title = "SCENARIO", description = "JSON file with a Scenario")
  @Required
  private String scenario;

  @Option(
      name = "--out",
      title = "DIR",
      description = "Directory for settings, logs and histories; a temporary one by default")
  private String out;

  @Option(name = "--seed", title = "SEED", description = "First seed, instead of the scenario's")
  private Long seed;

  @Option(name = "--runs", title = "N", description = "Number of runs, with ascending seeds")
  private int runs = 1;

  @Override
  public Integer call() throws IOException, InterruptedException, SQLException {
    Experiment experiment = Experiment.load(Path.of(scenario));
    Path directory = out == null ? Files.createTempDirectory("oleanderstep-load-") : Path.of(out);
    long first = seed == null ? experiment.seed() : seed;
    boolean passed = true;
    for (long s = first; s < first + runs; s++) {
      Verdict verdict = experiment.withSeed(s).run(directory.resolve("seed-" + s));
      System.out.print(verdict.toText());
      passed &= verdict.passed();
    }
    System.out.println("settings, logs and histories: " + directory);
    return passed ? 0 : 1;
  }
}
