package org.oleanderstep.standins;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.oleanderstep.standins.member.MemberCommand;
import org.oleanderstep.standins.platform.PlatformCommand;

/**
 * Command line of the stand-ins; each subcommand is a class of its own that implements {@link
 * Runnable}.
 *
 * <pre>{@code
 * oleanderstep-standin member --settings member-a.json
 * }</pre>
 */
@Cli(
    name = "oleanderstep-standin",
    description = "Stand-ins for the systems around the proxy",
    defaultCommand = Help.class,
    commands = {Help.class, MemberCommand.class, PlatformCommand.class})
public final class Main {

  private static final int USAGE_ERROR = 2;

  private Main() {}

  /** Runs the subcommand named by the first argument; exits with 2 if the arguments are wrong. */
  public static void main(String[] args) {
    Runnable command;
    try {
      command = new com.github.rvesse.airline.Cli<Runnable>(Main.class).parse(args);
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE_ERROR);
      return;
    }
    command.run();
  }
}
