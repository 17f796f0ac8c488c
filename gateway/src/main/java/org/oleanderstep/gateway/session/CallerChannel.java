package org.oleanderstep.gateway.session;

/** Sends answers to a caller; implemented by the adapter of a caller protocol. */
public interface CallerChannel {

  /** Tells the caller that its session is open. */
  void opened();

  /** Refuses the session and closes the connection. */
  void refuse(FailureCode code, String text);

  /** Answers the oldest unanswered statement. */
  void answer(Answer answer, SessionStatus status);

  /** Closes the connection after all pending writes. */
  void close();

  /** Returns whether the caller reads its answers; the next statement waits for it otherwise. */
  default boolean acceptsAnswers() {
    return true;
  }

  /**
   * Notes how many characters of variables and prepared statements the session keeps.
   *
   * @param characters the present total
   */
  default void stateChanged(long characters) {}

  /** Returns whether the caller has sent a part of its next statement. */
  boolean isReceiving();

  /** Runs an action after all statements that have been received are passed to the session. */
  void runAfterInput(Runnable action);
}
