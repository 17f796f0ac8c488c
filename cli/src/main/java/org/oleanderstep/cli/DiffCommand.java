package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.List;
import java.util.Optional;
import org.oleanderstep.proxy.internal.declarations.DeclarationsDiff;
import org.oleanderstep.proxy.internal.declarations.ObjectChange;
import org.oleanderstep.proxy.internal.platform.ConfigurationStore.StoredConfiguration;
import org.oleanderstep.schema.v1.Declarations;

/** Shows the changes that {@code apply} would publish. */
@Command(
    name = "diff",
    description = "Shows the objects that differ between a directory and the published set.")
@Examples(
    examples = "oleanderstep diff examples/tallerkode --platform http://127.0.0.1:8700",
    descriptions = "Lists added (+), removed (-) and changed (~) objects; changes nothing.")
public final class DiffCommand implements CliCommand {

  @AirlineModule private DirectoryArgument directory = new DirectoryArgument();
  @AirlineModule private PlatformOptions platform = new PlatformOptions();
  @AirlineModule private OutputOptions output = new OutputOptions();

  @Override
  public ExitCode run(Console console) {
    Declarations declarations = directory.readValidated();
    Optional<StoredConfiguration> stored = platform.store().read().join();
    Declarations published =
        stored
            .map(s -> s.configuration().getDeclarations())
            .orElse(Declarations.getDefaultInstance());
    long generation = stored.map(s -> s.configuration().getGeneration()).orElse(0L);
    List<ObjectChange> changes = DeclarationsDiff.between(published, declarations);
    if (output.json()) {
      console
          .out()
          .println(
              Json.object()
                  .with("generation", generation)
                  .with("changes", Changes.toJson(changes)));
    } else {
      Changes.print(console, changes);
      console.out().println(changes.size() + " objects differ from generation " + generation);
    }
    return ExitCode.OK;
  }
}
