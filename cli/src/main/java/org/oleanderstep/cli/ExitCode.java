package org.oleanderstep.cli;

/** Exit codes of all commands. */
enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The command failed, for instance because declarations are rejected. */
  FAILED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** Another operator published a change in between; this command changed nothing. */
  CONFLICT(3),
  /** The platform or the proxy did not respond. */
  UNAVAILABLE(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
