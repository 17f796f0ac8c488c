package org.oleanderstep.proxy.internal.caller;

import java.util.Optional;

/** The answer to a call. */
final class CallerAnswer {

  private final byte[] body;
  private final boolean failed;
  private final Optional<String> sessionToken;

  /**
   * Creates an answer.
   *
   * @param failed whether the body is an Avatica error, which travels with HTTP status 500
   * @param sessionToken new token of the session
   */
  CallerAnswer(byte[] body, boolean failed, Optional<String> sessionToken) {
    this.body = body;
    this.failed = failed;
    this.sessionToken = sessionToken;
  }

  byte[] body() {
    return body;
  }

  boolean failed() {
    return failed;
  }

  Optional<String> sessionToken() {
    return sessionToken;
  }
}
