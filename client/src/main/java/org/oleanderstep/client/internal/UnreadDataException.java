package org.oleanderstep.client.internal;

/**
 * Thrown when a call was not sent because the server had written something that no call asked for.
 * The network connection is closed, since such data could be read as the response to the call.
 */
public final class UnreadDataException extends NotSentException {

  UnreadDataException(String message, Throwable cause) {
    super(message, cause);
  }
}
