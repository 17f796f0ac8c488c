package org.oleanderstep.cli;

/** A command of the command line. */
interface CliCommand {

  /** Runs the command; a {@link CommandException} ends it with another code and a message. */
  ExitCode run(Console console) throws Exception;
}
