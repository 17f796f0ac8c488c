package org.oleanderstep.proxy.internal.target;

import java.time.Duration;

/**
 * The proxy's own account at the targets.
 *
 * @param statementTimeout longest time that one statement may run
 */
public record TargetAccount(String user, String password, Duration statementTimeout) {

  @Override
  public String toString() {
    return "TargetAccount[" + user + "]";
  }
}
