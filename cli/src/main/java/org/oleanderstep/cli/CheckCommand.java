package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.oleanderstep.proxy.internal.declarations.DeclarationError;
import org.oleanderstep.proxy.internal.declarations.DeclarationsDirectory;
import org.oleanderstep.schema.v1.Declarations;

/** Validates a directory of declarations without publishing it. */
@Command(
    name = "check",
    description = "Checks a directory of declared objects and lists all faults.")
@Examples(
    examples = "oleanderstep check examples/tallerkode",
    descriptions = "Checks the files of one deployment; exits with 1 if any object is refused.")
public final class CheckCommand implements CliCommand {

  @AirlineModule private DirectoryArgument directory = new DirectoryArgument();
  @AirlineModule private OutputOptions output = new OutputOptions();

  @Override
  public ExitCode run(Console console) {
    DeclarationsDirectory.Result result = directory.read();
    boolean accepted = result.errors().isEmpty();
    if (output.json()) {
      console.out().println(toJson(result));
    } else if (accepted) {
      console.out().println("accepted: " + formatCounts(result.declarations()));
    } else {
      console.err().println(DirectoryArgument.formatRefusals(result));
    }
    return accepted ? ExitCode.OK : ExitCode.FAILED;
  }

  private static String formatCounts(Declarations declarations) {
    return String.format(
        "%d organisations, %d keys, %d services, %d routes, %d read rules, %d objectives",
        declarations.getOrganisationsCount(),
        declarations.getKeysCount(),
        declarations.getServicesCount(),
        declarations.getRoutesCount(),
        declarations.getReadRulesCount(),
        declarations.getObjectivesCount());
  }

  private static Json toJson(DeclarationsDirectory.Result result) {
    return Json.object()
        .with("accepted", result.errors().isEmpty())
        .with("refusals", result.errors().stream().map(CheckCommand::toJson).toList());
  }

  private static Json toJson(DeclarationError refusal) {
    return Json.object()
        .with("file", refusal.file())
        .with("object", refusal.object())
        .with("field", refusal.field())
        .with("problem", refusal.problem())
        .with("remedy", refusal.remedy());
  }
}
