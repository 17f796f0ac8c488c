package org.oleanderstep.cli;

/** Command of the command-line interface. */
interface CliCommand {

  /**
   * Runs the command; a {@link CommandException} ends it with the exit code and message of the
   * exception.
   */
  ExitCode run(Console console) throws Exception;
}
