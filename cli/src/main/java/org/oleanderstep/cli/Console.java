package org.oleanderstep.cli;

import java.io.PrintStream;

/** Where a command prints. */
record Console(PrintStream out, PrintStream err) {}
