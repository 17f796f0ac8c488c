package org.oleanderstep.core.membership;

/** Whether a proxy may serve under the configuration in force. */
public enum Trust {
  TRUSTED,
  UNTRUSTED
}
