package org.oleanderstep.cli;

/** Exit codes of all commands. */
enum ExitCode {
  /** The command did what it was asked to. */
  OK(0),
  /** The command failed, for instance because declared objects are refused. */
  FAILED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** Somebody else changed the same objects first; nothing was changed. */
  CONFLICT(3),
  /** The platform or the proxy did not answer. */
  UNAVAILABLE(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
