package org.oleanderstep.load;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.Callable;
import org.oleanderstep.load.command.HelpCommand;
import org.oleanderstep.load.command.RunCommand;

/**
 * Command line of the load tool.
 *
 * <pre>{@code oleanderstep-load run load/scenarios/demo.json --out run/demo}</pre>
 *
 * <p>Exit status: 0 if everything that must hold did, 1 if not or if the run failed, 2 for wrong
 * arguments.
 */
@Cli(
    name = "oleanderstep-load",
    description = "Runs load and faults on a fleet of processes and judges what happened.",
    defaultCommand = HelpCommand.class,
    commands = {HelpCommand.class, RunCommand.class})
public final class Main {

  private static final int FAILED = 1;
  private static final int USAGE = 2;

  private Main() {}

  /** Runs the command named by the first argument. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) {
    try {
      return new com.github.rvesse.airline.Cli<Callable<Integer>>(Main.class)
          .parse(arguments)
          .call();
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      return USAGE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    } catch (Exception e) {
      System.err.println("the run failed: " + e.getMessage());
      return FAILED;
    }
  }
}
