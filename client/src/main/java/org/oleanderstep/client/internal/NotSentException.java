package org.oleanderstep.client.internal;

import java.io.IOException;

/** A call failed before any byte of it was sent. */
public final class NotSentException extends IOException {

  /** Creates the exception with the reason of the failed connection. */
  public NotSentException(String message, Throwable cause) {
    super(message, cause);
  }
}
