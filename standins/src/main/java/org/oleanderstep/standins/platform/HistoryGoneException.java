package org.oleanderstep.standins.platform;

/** Thrown to a watch when the store has returned to an older copy. */
final class HistoryGoneException extends RuntimeException {

  private static final long serialVersionUID = 1;

  HistoryGoneException() {
    super("the store has returned to an older copy");
  }
}
