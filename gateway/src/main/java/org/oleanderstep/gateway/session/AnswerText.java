package org.oleanderstep.gateway.session;

/** Formats answers for log lines. */
public final class AnswerText {

  private AnswerText() {}

  /** Returns the outcome, and the text of a failure. */
  public static String of(Answer answer) {
    if (answer instanceof Answer.Failure failure) {
      return failure.code() + ": " + failure.text();
    }
    return "SUCCESS";
  }
}
