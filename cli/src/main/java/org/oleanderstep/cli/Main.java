package org.oleanderstep.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.oleanderstep.proxy.internal.platform.PlatformException;
import org.oleanderstep.proxy.internal.settings.SettingsException;

/**
 * Entry point of the {@code oleanderstep} command.
 *
 * <p>{@link ExitCode} lists the exit codes.
 */
public final class Main {

  private static final Set<String> HELP = Set.of("--help", "-h", "help");
  private static final String EXIT_CODES =
      "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict with another operator, 4 the"
          + " platform or a proxy did not answer.";

  private Main() {}

  /** Runs one command and ends the process with its exit code. */
  public static void main(String[] args) {
    System.exit(run(List.of(args), new Console(System.out, System.err)));
  }

  /** Runs one command and returns its exit code. */
  static int run(List<String> args, Console console) {
    Cli<CliCommand> cli = cli();
    if (args.isEmpty() || args.stream().anyMatch(HELP::contains)) {
      return printHelp(cli, args, console).code();
    }
    try {
      CliCommand command = cli.parse(args.toArray(String[]::new));
      if (command == null) {
        // Airline returns null for an unknown command if there is no default command.
        throw new CommandException(
            ExitCode.USAGE,
            "there is no command \"" + args.get(0) + "\"; see: oleanderstep --help");
      }
      return command.run(console).code();
    } catch (ParseException e) {
      console.err().println(e.getMessage());
      console.err().println("see: oleanderstep --help");
      return ExitCode.USAGE.code();
    } catch (CommandException e) {
      console.err().println(e.getMessage());
      return e.exitCode().code();
    } catch (Exception e) {
      return reportFailure(e, console).code();
    }
  }

  private static Cli<CliCommand> cli() {
    CliBuilder<CliCommand> builder =
        Cli.<CliCommand>builder("oleanderstep")
            .withDescription("Database proxy with session consistency. " + EXIT_CODES)
            .withCommand(ProxyCommand.class)
            .withCommand(CheckCommand.class)
            .withCommand(ApplyCommand.class)
            .withCommand(DiffCommand.class)
            .withCommand(StatusCommand.class)
            .withCommand(DrainCommand.class)
            .withCommand(FailoverCommand.class)
            .withCommand(VersionCommand.class);
    builder
        .withGroup("keys")
        .withDescription("Issues and withdraws keys of organisations.")
        .withCommand(KeysIssueCommand.class)
        .withCommand(KeysWithdrawCommand.class);
    return builder.build();
  }

  private static ExitCode printHelp(Cli<CliCommand> cli, List<String> args, Console console) {
    List<String> names = new ArrayList<>(args);
    names.removeIf(arg -> HELP.contains(arg) || arg.startsWith("-"));
    try {
      Help.help(cli.getMetadata(), names, console.out());
      console.out().println(EXIT_CODES);
      return ExitCode.OK;
    } catch (IOException e) {
      console.err().println(e.getMessage());
      return ExitCode.FAILED;
    }
  }

  private static ExitCode reportFailure(Exception failure, Console console) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    if (cause instanceof PlatformException.Unavailable) {
      console.err().println(cause.getMessage());
      console.err().println("check the address, or try again later; see also: oleanderstep diff");
      return ExitCode.UNAVAILABLE;
    }
    if (cause instanceof PlatformException.Conflict) {
      console.err().println(cause.getMessage());
      return ExitCode.CONFLICT;
    }
    if (cause instanceof SettingsException || cause instanceof PlatformException) {
      console.err().println(cause.getMessage());
      return ExitCode.FAILED;
    }
    console.err().println("the command failed: " + cause);
    return ExitCode.FAILED;
  }
}
