package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.oleanderstep.proxy.Version;

/** Prints the version. */
@Command(name = "version", description = "Prints the version of oleanderstep.")
@Examples(examples = "oleanderstep version", descriptions = "Prints, for instance, 0.1.0.")
public final class VersionCommand implements CliCommand {

  @AirlineModule private OutputOptions output = new OutputOptions();

  @Override
  public ExitCode run(Console console) {
    String version = Version.current();
    console.out().println(output.json() ? Json.object().with("version", version) : version);
    return ExitCode.OK;
  }
}
