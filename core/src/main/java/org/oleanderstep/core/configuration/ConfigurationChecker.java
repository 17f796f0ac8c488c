package org.oleanderstep.core.configuration;

import java.util.List;

/**
 * Validates a whole set of declared objects before it is published.
 *
 * <pre>{@code
 * List<Violation> violations = ConfigurationChecker.check(declarations);
 * }</pre>
 */
// The bodies follow in the next commits.
@SuppressWarnings("DoNotCallSuggester")
public final class ConfigurationChecker {

  private ConfigurationChecker() {}

  /** Returns everything that is wrong with the set, in the order of its objects. */
  public static List<Violation> check(Declarations declarations) {
    throw new UnsupportedOperationException(declarations.toString());
  }
}
