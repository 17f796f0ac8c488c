package org.oleanderstep.proxy.internal.traffic;

import org.oleanderstep.core.model.NotRunReason;

/**
 * Result of an admission check: whether a statement may be sent under the rate of its organisation.
 */
public sealed interface Admission {

  /** A token was taken; the statement may be sent. */
  record Admitted() implements Admission {}

  /** No token was taken; the statement must not be sent. */
  record Refused(NotRunReason reason, String detail) implements Admission {}
}
