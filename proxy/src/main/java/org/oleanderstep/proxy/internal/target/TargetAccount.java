package org.oleanderstep.proxy.internal.target;

import java.time.Duration;

/**
 * Credentials and statement timeout with which the proxy connects to targets.
 *
 * @param statementTimeout maximum run time of a statement
 */
public record TargetAccount(String user, String password, Duration statementTimeout) {

  @Override
  public String toString() {
    return "TargetAccount[" + user + "]";
  }
}
