package org.oleanderstep.core.membership;

/** Whether a proxy may serve under the configuration it has. */
public enum Trust {
  TRUSTED,
  UNTRUSTED
}
