package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.OptionalLong;

/** Marks a key as withdrawn. */
@Command(
    name = "withdraw",
    description = "Marks a key as withdrawn; it stops within 5 s after the directory is applied.")
@Examples(
    examples =
        "oleanderstep keys withdraw examples/tallerkode --id taller-quispe-1 --platform"
            + " http://127.0.0.1:8700",
    descriptions = "Changes the file and applies the directory.")
public final class KeysWithdrawCommand implements CliCommand {

  @AirlineModule private DirectoryArgument directory = new DirectoryArgument();
  @AirlineModule private PlatformOptions platform = new PlatformOptions();
  @AirlineModule private OutputOptions output = new OutputOptions();

  @Option(name = "--id", title = "KEY", description = "id of the key")
  @Required
  private String id;

  @Override
  public ExitCode run(Console console) {
    Path file = new KeyFiles(directory.path()).withdraw(id);
    if (platform.isGiven()) {
      return new Publication(platform, output)
          .publish(directory.readValidated(), OptionalLong.empty(), console);
    }
    console.out().println("key " + id + " is withdrawn in " + file + "; apply the directory now");
    return ExitCode.OK;
  }
}
