package org.oleanderstep.standins.member.internal;

import java.io.Serial;

/** A commit was neither acknowledged nor refused; the connection is closed without an answer. */
final class OutcomeUnknownException extends RuntimeException {

  @Serial private static final long serialVersionUID = 1L;

  OutcomeUnknownException() {
    super("the outcome of the commit is unknown");
  }
}
