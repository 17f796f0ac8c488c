package org.oleanderstep.cli;

import java.io.PrintStream;

/** Output streams of a command. */
record Console(PrintStream out, PrintStream err) {}
