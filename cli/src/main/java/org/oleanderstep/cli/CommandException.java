package org.oleanderstep.cli;

/** Thrown to end a command with an exit code and a message for the operator. */
final class CommandException extends RuntimeException {

  private static final long serialVersionUID = 1;

  private final ExitCode exitCode;

  CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
