package org.oleanderstep.client.internal;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Value of the header {@code Authorization} for the Basic scheme. */
public final class BasicCredentials {

  private BasicCredentials() {}

  /**
   * Returns the header value for a user and password.
   *
   * @throws IllegalArgumentException if the user contains a colon, at which a server would end it
   */
  public static String header(String user, String password) {
    if (user.indexOf(':') >= 0) {
      throw new IllegalArgumentException(
          "a user or key id must not contain a colon, since the server would take what follows for"
              + " the password");
    }
    byte[] text = (user + ":" + password).getBytes(StandardCharsets.UTF_8);
    return "Basic " + Base64.getEncoder().encodeToString(text);
  }
}
