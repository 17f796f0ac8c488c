package org.oleanderstep.gateway.session;

/** Formats answers for log lines. */
final class AnswerText {

  private AnswerText() {}

  static String of(Answer answer) {
    if (answer instanceof Answer.Failure failure) {
      return failure.code() + ": " + failure.text();
    }
    return "SUCCESS";
  }
}
