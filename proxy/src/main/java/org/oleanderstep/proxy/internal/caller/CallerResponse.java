package org.oleanderstep.proxy.internal.caller;

import java.util.Optional;

/** The response to one call of a caller, as it is written to HTTP. */
final class CallerResponse {

  private final byte[] body;
  private final boolean failed;
  private final boolean keyRefused;
  private final Optional<String> sessionToken;
  private final boolean inTransaction;

  /**
   * Creates a response.
   *
   * @param failed whether the body is an Avatica error, which is sent with HTTP status 500
   * @param keyRefused whether the call was refused because its key is missing or not valid
   * @param sessionToken session token to return to the caller
   * @param inTransaction whether the caller has a transaction open on this proxy
   */
  CallerResponse(
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
