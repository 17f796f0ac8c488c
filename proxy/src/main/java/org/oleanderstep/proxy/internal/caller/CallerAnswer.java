package org.oleanderstep.proxy.internal.caller;

import java.util.Optional;

/** The answer to a call. */
final class CallerAnswer {

  private final byte[] body;
  private final boolean failed;
  private final boolean keyRefused;
  private final Optional<String> sessionToken;
  private final boolean inTransaction;

  /**
   * Creates an answer.
   *
   * @param failed whether the body is an Avatica error, which travels with HTTP status 500
   * @param keyRefused whether the call was refused for its key
   * @param sessionToken new token of the session
   * @param inTransaction whether the caller has a transaction open on this proxy
   */
  CallerAnswer(
      byte[] body,
      boolean failed,
      boolean keyRefused,
      Optional<String> sessionToken,
      boolean inTransaction) {
    this.body = body;
    this.failed = failed;
    this.keyRefused = keyRefused;
    this.sessionToken = sessionToken;
    this.inTransaction = inTransaction;
  }

  byte[] body() {
    return body;
  }

  boolean failed() {
    return failed;
  }

  boolean keyRefused() {
    return keyRefused;
  }

  Optional<String> sessionToken() {
    return sessionToken;
  }

  boolean inTransaction() {
    return inTransaction;
  }
}
