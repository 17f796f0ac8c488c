package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Pattern;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import org.oleanderstep.proxy.internal.declarations.DeclarationError;
import org.oleanderstep.proxy.internal.declarations.DeclarationsDirectory;
import org.oleanderstep.schema.v1.Declarations;

/** Command-line argument that names the directory of declarations. */
public class DirectoryArgument {

  @Arguments(
      title = "DIR",
      description = "directory with JSON files of declared objects; subdirectories are read too")
  @Required
  @MaxOccurrences(occurrences = 1)
  // Airline treats unknown options as arguments.
  @Pattern(pattern = "[^-].*", description = "must not start with a hyphen")
  private String directory;

  Path path() {
    return Path.of(directory);
  }

  DeclarationsDirectory.Result read() {
    return DeclarationsDirectory.read(path());
  }

  /** Returns the declarations, or ends the command with a list of all refusals. */
  Declarations readValidated() {
    DeclarationsDirectory.Result result = read();
    if (!result.errors().isEmpty()) {
      throw new CommandException(ExitCode.FAILED, formatRefusals(result));
    }
    return result.declarations();
  }

  static String formatRefusals(DeclarationsDirectory.Result result) {
    StringBuilder text = new StringBuilder();
    for (DeclarationError refusal : result.errors()) {
      text.append(refusal).append(System.lineSeparator());
    }
    return text.append("refused: ").append(result.errors().size()).append(" faults").toString();
  }
}
