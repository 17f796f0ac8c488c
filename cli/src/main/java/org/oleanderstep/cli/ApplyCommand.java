package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.OptionalLong;

/** Publishes a directory of declarations. */
@Command(
    name = "apply",
    description =
        "Checks a directory of declared objects and publishes it as a whole, or not at all.")
@Examples(
    examples = "oleanderstep apply examples/tallerkode --platform http://127.0.0.1:8700",
    descriptions =
        "Publishes the next generation; exits with 3 and names the objects if another operator"
            + " published in between.")
public final class ApplyCommand implements CliCommand {

  @AirlineModule private DirectoryArgument directory = new DirectoryArgument();
  @AirlineModule private PlatformOptions platform = new PlatformOptions();
  @AirlineModule private OutputOptions output = new OutputOptions();

  @Option(
      name = "--expect-generation",
      title = "NUMBER",
      description =
          "publish only while this generation is the present one; 0 stands for no publication")
  private long expectedGeneration = -1;

  @Override
  public ExitCode run(Console console) {
    OptionalLong expected =
        expectedGeneration < 0 ? OptionalLong.empty() : OptionalLong.of(expectedGeneration);
    return new Publication(platform, output).publish(directory.readValidated(), expected, console);
  }
}
