package org.oleanderstep.client.internal;

import java.io.IOException;

/** Thrown when a call failed before any byte of it was sent. */
public class NotSentException extends IOException {

  /** Creates the exception with the cause of the failed connection attempt. */
  public NotSentException(String message, Throwable cause) {
    super(message, cause);
  }
}
